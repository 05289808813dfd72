#pragma once

#include "balsammill/schema/MethodInfo.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Balsammill {

/// One schema file: the path by which other files import it, and its text.
struct SchemaSource {
    std::string path;
    std::string text;
};

/// One error in a schema file. Line and column count from 1; 0 if unknown.
struct SchemaFault {
    std::string file;
    int line { 0 };
    int column { 0 };
    std::string cause;
};

/// Thrown for an invalid schema. what() lists all faults, one a line, as "file:line:column: cause".
class SchemaError : public std::runtime_error {
public:
    explicit SchemaError(std::vector<SchemaFault>);
    const std::vector<SchemaFault>& faults() const { return faults_; }

private:
    std::vector<SchemaFault> faults_;
};

/// The services and methods of a deployment, compiled from .proto files at run time. Immutable and thread-safe.
class Schema {
public:
    /// Compiles the sources. They can import "balsammill/options.proto" and the well-known types, which need not be
    /// listed. Throws SchemaError on syntax errors, unknown imports, streaming methods and invalid policies.
    static std::shared_ptr<const Schema> compile(const std::vector<SchemaSource>&);

    ~Schema();

    /// The name has the form "package.Service/Method". Null if there is no such method.
    const MethodInfo* findMethod(std::string_view name) const;

    std::vector<const MethodInfo*> methods() const;

    /// Converts a JSON request to binary and checks it against the method's input type. Throws RpcError
    /// (invalid_argument, not-run) that names the invalid field.
    std::string requestFromJson(const MethodInfo&, std::string_view json) const;
    /// Checks a binary request against the method's input type. Throws like requestFromJson().
    void checkRequest(const MethodInfo&, std::string_view binary) const;
    /// Checks an upstream's binary response against the method's output type. Throws RpcError (internal, ran) if it is
    /// invalid.
    void checkAnswer(const MethodInfo&, std::string_view binary) const;
    /// Checks an upstream's binary response and converts it to JSON. Throws like checkAnswer().
    std::string answerToJson(const MethodInfo&, std::string_view binary) const;

private:
    struct Detail;
    explicit Schema(std::unique_ptr<Detail>);
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
