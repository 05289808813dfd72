#include "DeploymentFile.h"

#include "balsammill/v1/config.pb.h"

#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace Balsammill {

std::string readTextFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error("file '" + path + "' cannot be read");
    text << file.rdbuf();
    return text.str();
}

balsammill::v1::DeploymentConfig readDeploymentFile(const std::string& path, const std::string& schemaRoot)
{
    balsammill::v1::DeploymentConfig config;
    const auto status = google::protobuf::util::JsonStringToMessage(readTextFile(path), &config);
    if (!status.ok())
        throw std::runtime_error("file '" + path + "': " + std::string(status.message()));
    for (auto& schema : *config.mutable_schema_files()) {
        if (schema.text().empty())
            schema.set_text(readTextFile(schemaRoot + "/" + schema.path()));
    }
    return config;
}

} // namespace Balsammill
