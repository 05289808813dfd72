#include "ConfigFixture.h"

#include "balsammill/config/ConfigValidation.h"
#include "balsammill/schema/Schema.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

using namespace Balsammill;
using balsammill::v1::DeploymentConfig;

namespace {

struct InvalidConfig {
    const char* what;
    std::function<void(DeploymentConfig&)> mutate;
    std::string field;
    std::string value;
    std::string cause;
};

const std::vector<InvalidConfig>& invalidConfigs()
{
    static const std::vector<InvalidConfig> cases {
        { "version 0", [](auto& c) { c.set_version(0); }, "version", "0", "at least 1" },
        { "no change id", [](auto& c) { c.clear_change_id(); }, "change_id", "", "empty" },
        { "schema syntax", [](auto& c) { c.mutable_schema_files(0)->set_text("syntax = \"proto3\";\nmessage {"); },
            "schema_files", "test.proto:2:9", "Expected message name" },
        { "unknown import",
            [](auto& c) { c.mutable_schema_files(0)->set_text("syntax = \"proto3\";\nimport \"missing.proto\";"); },
            "schema_files", "missing.proto:0:0", "not part of the schema" },
        { "oversized schema", [](auto& c) { c.mutable_schema_files(0)->set_text(std::string(1100000, ' ')); },
            "schema_files", "1100010", "at most 1048576" },
        { "service not in the schema", [](auto& c) { c.mutable_services(0)->set_name("test.Missing"); },
            "services[0].name", "test.Missing", "no such service" },
        { "service without calls", [](auto& c) { c.mutable_services(0)->set_name("test.Empty"); }, "services[0].name",
            "test.Empty", "no such service" },
        { "service twice", [](auto& c) { *c.add_services() = c.services(0); }, "services[1].name", "test.Echo",
            "twice" },
        { "service without a label", [](auto& c) { c.mutable_services(0)->clear_upstream_label(); },
            "services[0].upstream_label", "", "empty" },
        { "too many slots", [](auto& c) { c.mutable_services(0)->set_slots_per_upstream(1025); },
            "services[0].slots_per_upstream", "1025", "at most 1024" },
        { "fewer connections than slots", [](auto& c) { c.mutable_services(0)->set_connections_per_upstream(7); },
            "services[0].connections_per_upstream", "7", "slots_per_upstream 8" },
        { "client account twice", [](auto& c) { *c.add_teams() = c.teams(0); }, "teams[1].name", "red", "twice" },
        { "client account name with a line break", [](auto& c) { c.mutable_teams(0)->set_name("a\r\nb"); },
            "teams[0].name", "a\r\nb", "only letters" },
        { "client account weight", [](auto& c) { c.mutable_teams(0)->set_quota_weight(1000001); },
            "teams[0].quota_weight", "1000001", "at most 1000000" },
        { "small bodies", [](auto& c) { c.mutable_limits()->set_max_body_bytes(10); }, "limits.max_body_bytes", "10",
            "at least 1024" },
        { "large bodies", [](auto& c) { c.mutable_limits()->set_max_body_bytes(100000000); }, "limits.max_body_bytes",
            "100000000", "at most 67108864" },
        { "deadline", [](auto& c) { c.mutable_limits()->set_default_deadline_ms(90000000); },
            "limits.default_deadline_ms", "90000000", "at most 86400000" },
        { "no failure domain", [](auto& c) { c.clear_failure_domains(); }, "failure_domains", "", "at least one" },
        { "empty failure domain", [](auto& c) { c.set_failure_domains(1, ""); }, "failure_domains[1]", "", "empty" },
        { "failure domain twice", [](auto& c) { c.set_failure_domains(1, "north"); }, "failure_domains[1]", "north",
            "twice" },
        { "failure domain with a slash", [](auto& c) { c.set_failure_domains(1, "a/b"); }, "failure_domains[1]", "a/b",
            "only letters" },
        { "no shards", [](auto& c) { c.set_shards_per_domain(0); }, "shards_per_domain", "0", "between 1 and 1024" },
        { "too many shards", [](auto& c) { c.set_shards_per_domain(1025); }, "shards_per_domain", "1025",
            "between 1 and 1024" },
        { "drained VM twice",
            [](auto& c) {
                c.add_drained_vms("vm-1");
                c.add_drained_vms("vm-1");
            },
            "drained_vms[1]", "vm-1", "twice" },
    };
    return cases;
}

} // namespace

// Guards against invalid configurations that are accepted, and against error messages that do not say what to change.
TEST_CASE("Each fault of a configuration is reported with its field, value and cause")
{
    for (const auto& testCase : invalidConfigs()) {
        CAPTURE(testCase.what);
        auto config = validConfig();
        testCase.mutate(config);
        try {
            buildActiveConfig(config);
            FAIL_CHECK("expected a fault");
        } catch (const ConfigError& error) {
            const auto& fault = error.faults().front();
            CHECK(fault.field == testCase.field);
            CHECK(fault.value == testCase.value);
            CHECK_MESSAGE(fault.cause.find(testCase.cause) != std::string::npos, fault.cause);
            CHECK(error.details().code == ErrorCode::InvalidArgument);
            CHECK(error.details().verdict == Verdict::NotRun);
        }
    }
}

// Guards against a report of the first fault only, after which operators would have to retry for each further one.
TEST_CASE("All faults are reported together")
{
    auto config = validConfig();
    config.set_shards_per_domain(0);
    config.mutable_teams(0)->set_name("");
    CHECK(findConfigFaults(config).size() == 2);
}

TEST_CASE("A valid configuration is built with its compiled schema")
{
    const auto active = buildActiveConfig(validConfig(7));
    CHECK(active->version.value == 7);
    CHECK(active->schema->findMethod("test.Echo/Ask") != nullptr);
    CHECK(active->content->teams(0).name() == "red");
}
