#include "ConfigFixture.h"

#include "balsammill/config/ConfigError.h"
#include "balsammill/config/ConfigStore.h"

#include <doctest/doctest.h>

using namespace Balsammill;

namespace {

ConfigStore storeAt(std::uint64_t version)
{
    ConfigStore store;
    REQUIRE(std::holds_alternative<ConfigAdopted>(store.adopt(validConfig(version))));
    return store;
}

balsammill::v1::DeploymentConfig prepared(const ConfigStore& store, const ConfigChange& change)
{
    auto result = store.prepare(change, store.version(), "next");
    REQUIRE(std::holds_alternative<ConfigPrepared>(result));
    return std::get<ConfigPrepared>(result).next;
}

} // namespace

// Guards against a rollback of the configuration when an older copy arrives late.
TEST_CASE("Only a higher version is adopted")
{
    auto store = storeAt(5);
    const auto older = store.adopt(validConfig(4));
    REQUIRE(std::holds_alternative<ConfigOutdated>(older));
    CHECK(std::get<ConfigOutdated>(older).current.value == 5);
    CHECK(std::holds_alternative<ConfigAlreadyInForce>(store.adopt(validConfig(5))));
    CHECK(store.version().value == 5);
    CHECK(std::holds_alternative<ConfigAdopted>(store.adopt(validConfig(6))));
    CHECK(store.version().value == 6);
}

// Guards against two processes that serve different content under the same version without an error.
TEST_CASE("An equal version with different content is reported as divergent")
{
    auto store = storeAt(5);
    auto other = validConfig(5);
    other.set_change_id("other");
    const auto result = store.adopt(other);
    REQUIRE(std::holds_alternative<ConfigDivergent>(result));
    CHECK(std::get<ConfigDivergent>(result).offeredChangeId == "other");
    CHECK(store.current()->content->change_id() == "change-5");
}

// Guards against an invalid configuration that replaces a valid one.
TEST_CASE("An invalid higher version leaves the store unchanged")
{
    auto store = storeAt(5);
    auto invalid = validConfig(6);
    invalid.set_shards_per_domain(0);
    CHECK_THROWS_AS(store.adopt(invalid), ConfigError);
    CHECK(store.version().value == 5);
}

// Guards against lost updates when two operators change the same version.
TEST_CASE("A change that is based on another version is a conflict")
{
    const auto store = storeAt(5);
    const auto result = store.prepare(DrainVm { VmName("vm-1") }, ConfigVersion(4), "next");
    REQUIRE(std::holds_alternative<ConfigConflict>(result));
    const auto details = std::get<ConfigConflict>(result).details();
    CHECK(details.code == ErrorCode::Aborted);
    CHECK(details.verdict == Verdict::NotRun);
    CHECK(details.message.find("version 5") != std::string::npos);
}

// Guards against changes that drop unrelated content, and against writes of a change that is already in effect.
TEST_CASE("Drain, undrain, stop and resume change only the named VM or service")
{
    auto store = storeAt(5);
    auto next = prepared(store, DrainVm { VmName("vm-1") });
    CHECK(next.version() == 6);
    CHECK(next.change_id() == "next");
    REQUIRE(next.drained_vms_size() == 1);
    CHECK(next.services(0).name() == "test.Echo");
    store.adopt(next);
    CHECK(
        std::holds_alternative<ConfigUnchanged>(store.prepare(DrainVm { VmName("vm-1") }, ConfigVersion(6), "again")));

    next = prepared(store, StopService { ServiceName("test.Echo") });
    CHECK(next.services(0).stopped());
    CHECK(next.drained_vms_size() == 1);
    store.adopt(next);
    next = prepared(store, ResumeService { ServiceName("test.Echo") });
    CHECK_FALSE(next.services(0).stopped());
    store.adopt(next);
    next = prepared(store, UndrainVm { VmName("vm-1") });
    CHECK(next.drained_vms().empty());
    CHECK(next.version() == 9);
}

// Guards against changes of unknown services and invalid VMs, and against a change of the shard count or the failure
// domains, after which a resubmitted job would start again in another shard.
TEST_CASE("An invalid change is refused with the name of the offending field")
{
    auto fewerShards = validConfig(5);
    fewerShards.set_shards_per_domain(8);
    auto moreDomains = validConfig(5);
    moreDomains.add_failure_domains("added");
    struct {
        ConfigChange change;
        std::string field;
    } const cases[] {
        { StopService { ServiceName("test.Missing") }, "service" },
        { ResumeService { ServiceName("") }, "service" },
        { DrainVm { VmName("") }, "vm" },
        { UndrainVm { VmName("vm 1") }, "vm" },
        { ReplaceConfig { fewerShards }, "shards_per_domain" },
        { ReplaceConfig { moreDomains }, "failure_domains" },
        { ReplaceConfig { {} }, "failure_domains" },
    };
    const auto store = storeAt(5);
    for (const auto& testCase : cases) {
        CAPTURE(testCase.field);
        try {
            store.prepare(testCase.change, ConfigVersion(5), "next");
            FAIL_CHECK("expected a fault");
        } catch (const ConfigError& error) {
            CHECK(error.details().field == testCase.field);
        }
    }
}

TEST_CASE("The first configuration is based on version 0")
{
    const ConfigStore store;
    const auto next = prepared(store, ReplaceConfig { validConfig(99) });
    CHECK(next.version() == 1);
}
