#pragma once

#include "balsammill/schema/Schema.h"

#include <google/protobuf/compiler/importer.h>

#include <map>
#include <string>
#include <vector>

namespace Balsammill::Detail {

/// In-memory source tree for the compiler: the deployment's schema files, options.proto and the well-known types.
class SchemaFiles : public google::protobuf::compiler::SourceTree {
public:
    explicit SchemaFiles(const std::vector<SchemaSource>&);

    google::protobuf::io::ZeroCopyInputStream* Open(
        const std::string& filename) override; // NOLINT(readability-identifier-naming)
    std::string GetLastErrorMessage() override; // NOLINT(readability-identifier-naming)

    const std::vector<SchemaFault>& faults() const { return faults_; }

private:
    void add(const SchemaSource&);

    std::map<std::string, std::string> texts_;
    std::vector<SchemaFault> faults_;
};

/// Collects the errors that the compiler reports.
class FaultCollector : public google::protobuf::compiler::MultiFileErrorCollector {
public:
    // NOLINTNEXTLINE(readability-identifier-naming)
    void AddError(const std::string& filename, int line, int column, const std::string& message) override;

    const std::vector<SchemaFault>& faults() const { return faults_; }

private:
    std::vector<SchemaFault> faults_;
};

} // namespace Balsammill::Detail
