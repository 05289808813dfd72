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

/// Builds requests of any schema and the answers to them. An answer echoes the fields of its request that have the same
/// name and type, so that it can be checked against the request. Thread-safe.
class EchoMessages {
public:
    explicit EchoMessages(std::shared_ptr<const Schema>);

    /// Null if the schema has no such call.
    const MethodInfo* findMethod(std::string_view name) const { return schema_->findMethod(name); }

    /// Returns a serialized request. Its integer, string and bytes fields depend on the number, so that requests with
    /// different numbers differ.
    std::string makeRequest(const MethodInfo&, std::uint64_t number) const;
    /// Returns the serialized answer; empty if the request does not parse.
    std::optional<std::string> makeAnswer(const MethodInfo&, std::string_view request) const;
    /// Returns true if the answer echoes the fields of the request and has no other content.
    bool matches(const MethodInfo&, std::string_view request, std::string_view answer) const;

private:
    using FieldPair = std::pair<const google::protobuf::FieldDescriptor*, const google::protobuf::FieldDescriptor*>;

    struct Method {
        const google::protobuf::Message* input;
        const google::protobuf::Message* output;
        std::vector<FieldPair> echoedFields;
    };

    const Method& methodFor(const MethodInfo&) const;

    std::shared_ptr<const Schema> schema_;
    google::protobuf::DynamicMessageFactory factory_;
    std::map<std::string, Method> methods_;
};

/// Compiles schema files, whose names are relative to the import root. Throws SchemaError, or std::runtime_error if a
/// file cannot be read.
std::shared_ptr<const Schema> loadSchema(const std::string& protoRoot, const std::vector<std::string>& files);

} // namespace Balsammill::Standin
