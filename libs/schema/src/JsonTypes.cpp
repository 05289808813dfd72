#include "JsonTypes.h"

#include <google/protobuf/util/type_resolver_util.h>

#include <memory>

namespace Balsammill::Detail {

namespace {

const std::string urlPrefix = "type.googleapis.com";

std::string urlOfName(const std::string& fullName) { return urlPrefix + "/" + fullName; }

template <typename Types, typename Result>
google::protobuf::util::Status copyResolvedType(const Types& types, const std::string& typeUrl, Result* result)
{
    const auto found = types.find(typeUrl);
    if (found == types.end())
        return google::protobuf::util::NotFoundError("the schema has no type '" + typeUrl + "'");
    *result = found->second;
    return {};
}

} // namespace

JsonTypes::JsonTypes(const google::protobuf::DescriptorPool* pool, const TypeTable& types)
{
    const std::unique_ptr<google::protobuf::util::TypeResolver> resolver(
        google::protobuf::util::NewTypeResolverForDescriptorPool(urlPrefix, pool));
    for (const auto& [name, descriptor] : types.messages())
        static_cast<void>(resolver->ResolveMessageType(urlOfName(name), &messages_[urlOfName(name)]));
    for (const auto& [name, descriptor] : types.enums())
        static_cast<void>(resolver->ResolveEnumType(urlOfName(name), &enums_[urlOfName(name)]));
}

google::protobuf::util::Status JsonTypes::ResolveMessageType(const std::string& typeUrl, google::protobuf::Type* type)
{
    return copyResolvedType(messages_, typeUrl, type);
}

google::protobuf::util::Status JsonTypes::ResolveEnumType(const std::string& typeUrl, google::protobuf::Enum* type)
{
    return copyResolvedType(enums_, typeUrl, type);
}

std::string JsonTypes::urlOf(const google::protobuf::Descriptor& type) { return urlOfName(type.full_name()); }

} // namespace Balsammill::Detail
