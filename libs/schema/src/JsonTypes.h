#pragma once

#include "TypeTable.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/type.pb.h>
#include <google/protobuf/util/type_resolver.h>

#include <string>
#include <unordered_map>

namespace Balsammill::Detail {

/// Type resolver for the JSON conversion that caches all types of a schema. protobuf's own resolver converts the
/// descriptors again for every message, and looks up unknown names in the descriptor pool, which never frees them.
class JsonTypes : public google::protobuf::util::TypeResolver {
public:
    JsonTypes(const google::protobuf::DescriptorPool*, const TypeTable&);

    google::protobuf::util::Status ResolveMessageType( // NOLINT(readability-identifier-naming)
        const std::string& typeUrl, google::protobuf::Type*) override;
    google::protobuf::util::Status ResolveEnumType( // NOLINT(readability-identifier-naming)
        const std::string& typeUrl, google::protobuf::Enum*) override;

    static std::string urlOf(const google::protobuf::Descriptor&);

private:
    std::unordered_map<std::string, google::protobuf::Type> messages_;
    std::unordered_map<std::string, google::protobuf::Enum> enums_;
};

} // namespace Balsammill::Detail
