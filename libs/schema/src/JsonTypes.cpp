#include "JsonTypes.h"

#include <google/protobuf/util/type_resolver_util.h>

#include <mutex>

namespace Balsammill::Detail {

namespace {

constexpr auto urlPrefix = "type.googleapis.com";

} // namespace

JsonTypes::JsonTypes(const google::protobuf::DescriptorPool* pool)
    : resolver_(google::protobuf::util::NewTypeResolverForDescriptorPool(urlPrefix, pool))
{
}

google::protobuf::util::Status JsonTypes::ResolveMessageType(const std::string& typeUrl, google::protobuf::Type* type)
{
    {
        std::shared_lock lock(mutex_);
        if (const auto found = types_.find(typeUrl); found != types_.end()) {
            *type = found->second;
            return {};
        }
    }
    auto status = resolver_->ResolveMessageType(typeUrl, type);
    // Only types of the schema resolve, so a hostile type URL cannot grow the map.
    if (status.ok()) {
        std::unique_lock lock(mutex_);
        types_.emplace(typeUrl, *type);
    }
    return status;
}

google::protobuf::util::Status JsonTypes::ResolveEnumType(const std::string& typeUrl, google::protobuf::Enum* type)
{
    return resolver_->ResolveEnumType(typeUrl, type);
}

std::string JsonTypes::urlOf(const google::protobuf::Descriptor& type)
{
    return std::string(urlPrefix) + "/" + type.full_name();
}

} // namespace Balsammill::Detail
