#pragma once

#include <google/protobuf/descriptor.h>
#include <google/protobuf/type.pb.h>
#include <google/protobuf/util/type_resolver.h>

#include <map>
#include <memory>
#include <shared_mutex>
#include <string>

namespace Balsammill::Detail {

/// Type resolver of the JSON conversion that remembers resolved types. The library's own resolver converts the
/// descriptors anew for every message.
class JsonTypes : public google::protobuf::util::TypeResolver {
public:
    explicit JsonTypes(const google::protobuf::DescriptorPool*);

    google::protobuf::util::Status ResolveMessageType( // NOLINT(readability-identifier-naming)
        const std::string& typeUrl, google::protobuf::Type*) override;
    google::protobuf::util::Status ResolveEnumType( // NOLINT(readability-identifier-naming)
        const std::string& typeUrl, google::protobuf::Enum*) override;

    static std::string urlOf(const google::protobuf::Descriptor&);

private:
    std::unique_ptr<google::protobuf::util::TypeResolver> resolver_;
    std::shared_mutex mutex_;
    std::map<std::string, google::protobuf::Type, std::less<>> types_;
};

} // namespace Balsammill::Detail
