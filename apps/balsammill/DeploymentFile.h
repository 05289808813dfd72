#pragma once

#include <string>

namespace balsammill::v1 {
class DeploymentConfig;
}

namespace Balsammill {

/// Reads a deployment configuration: the JSON form of DeploymentConfig. If a schema file has no text, the text is read
/// from the file with its path under the schema root. Throws std::runtime_error that names the file.
/// The path "-" stands for standard input.
balsammill::v1::DeploymentConfig readDeploymentFile(const std::string& path, const std::string& schemaRoot);

std::string readTextFile(const std::string& path);

} // namespace Balsammill
