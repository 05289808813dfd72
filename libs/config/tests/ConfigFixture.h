#pragma once

#include <balsammill/v1/config.pb.h>

namespace Balsammill {

/// A valid configuration with one service that has two methods.
inline balsammill::v1::DeploymentConfig validConfig(std::uint64_t version = 1)
{
    balsammill::v1::DeploymentConfig config;
    config.set_version(version);
    config.set_change_id("change-" + std::to_string(version));
    auto& file = *config.add_schema_files();
    file.set_path("test.proto");
    file.set_text(R"(syntax = "proto3"; package test; message M { string id = 1; }
        service Echo { rpc Say(M) returns (M); rpc Ask(M) returns (M); }
        service Empty {})");
    auto& service = *config.add_services();
    service.set_name("test.Echo");
    service.set_upstream_label("echo");
    service.set_slots_per_upstream(8);
    service.set_connections_per_upstream(64);
    auto& clientAccount = *config.add_teams();
    clientAccount.set_name("red");
    clientAccount.set_quota_weight(2);
    config.add_failure_domains("north");
    config.add_failure_domains("south");
    config.set_shards_per_domain(16);
    return config;
}

} // namespace Balsammill
