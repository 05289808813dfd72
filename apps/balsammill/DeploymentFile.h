#pragma once

#include <string>

namespace balsammill::v1 {
class DeploymentConfig;
}

namespace Balsammill {

/// Reads a declaration of a deployment: the JSON form of DeploymentConfig, whose schema files may leave out their text;
/// it is then read from the file of that path under the schema root. Throws std::runtime_error that names the file.
balsammill::v1::DeploymentConfig readDeploymentFile(const std::string& path, const std::string& schemaRoot);

std::string readTextFile(const std::string& path);

} // namespace Balsammill
