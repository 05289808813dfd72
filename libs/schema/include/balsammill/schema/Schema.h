#pragma once

#include "balsammill/schema/MethodInfo.h"

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Balsammill {

/// Text of one schema file under the path by which others import it.
struct SchemaSource {
    std::string path;
    std::string text;
};

/// One fault of a schema; line and column count from 1, 0 if unknown.
struct SchemaFault {
    std::string file;
    int line { 0 };
    int column { 0 };
    std::string cause;
};

/// A schema that cannot be used. what() lists all faults as "file:line:column: cause".
class SchemaError : public std::runtime_error {
public:
    explicit SchemaError(std::vector<SchemaFault>);
    const std::vector<SchemaFault>& faults() const { return faults_; }

private:
    std::vector<SchemaFault> faults_;
};

/// The services and calls of a deployment, read from .proto files at run time. Immutable and safe to share.
class Schema {
public:
    /// Compiles the sources. "balsammill/options.proto" and the well-known types can be imported without being listed.
    /// Throws SchemaError on syntax errors, unknown imports, streaming calls and impossible policies.
    static std::shared_ptr<const Schema> compile(const std::vector<SchemaSource>&);

    ~Schema();

    /// Null if there is no such call. The name has the form "package.Service/Method".
    const MethodInfo* findMethod(std::string_view name) const;

    std::vector<const MethodInfo*> methods() const;

    /// Checks a binary request or answer against its type and converts JSON text into it.
    /// Throws RpcError (invalid_argument, not-run) that names the field.
    std::string requestFromJson(const MethodInfo&, std::string_view json) const;
    void checkRequest(const MethodInfo&, std::string_view binary) const;
    /// Throws RpcError (internal, ran) if an upstream's answer does not fit its type.
    void checkAnswer(const MethodInfo&, std::string_view binary) const;
    std::string answerToJson(const MethodInfo&, std::string_view binary) const;

private:
    struct Detail;
    explicit Schema(std::unique_ptr<Detail>);
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
