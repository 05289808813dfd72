#pragma once

#include "balsammill/schema/Schema.h"

#include <google/protobuf/dynamic_message.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Balsammill::Standin {

/// Requests and answers of any schema that can be checked against each other: an answer carries the fields of its
/// request that have the same name and type. Thread-safe.
class EchoMessages {
public:
    explicit EchoMessages(std::shared_ptr<const Schema>);

    /// Null if the schema has no such call.
    const MethodInfo* findMethod(std::string_view name) const { return schema_->findMethod(name); }

    /// Fills every field of the request with values that depend on the number, so that no two requests are alike.
    std::string makeRequest(const MethodInfo&, std::uint64_t number) const;
    /// Empty if the request does not parse.
    std::optional<std::string> answerTo(const MethodInfo&, std::string_view request) const;
    /// True if the answer carries the values of its request.
    bool matches(const MethodInfo&, std::string_view request, std::string_view answer) const;

private:
    using FieldPair = std::pair<const google::protobuf::FieldDescriptor*, const google::protobuf::FieldDescriptor*>;

    struct Method {
        const google::protobuf::Message* input;
        const google::protobuf::Message* output;
        std::vector<FieldPair> echoed;
    };

    const Method& of(const MethodInfo&) const;

    std::shared_ptr<const Schema> schema_;
    google::protobuf::DynamicMessageFactory factory_;
    std::map<std::string, Method> methods_;
};

/// Compiles schema files, each named relative to the import root. Throws SchemaError or std::runtime_error.
std::shared_ptr<const Schema> loadSchema(const std::string& protoRoot, const std::vector<std::string>& files);

} // namespace Balsammill::Standin
