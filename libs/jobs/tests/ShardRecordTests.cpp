#include "balsammill/jobs/HomePlacement.h"
#include "balsammill/jobs/JobIdentity.h"
#include "balsammill/jobs/ShardRecord.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using doctest::test_suite;

// Guards against numbers that lose bits because JSON numbers are exact only up to 53 bits.
TEST_CASE("the JSON text of a shard record preserves 64-bit numbers" * test_suite("[jobs]"))
{
    const ShardRecord record { Epoch { ~std::uint64_t { 0 } }, { VmName { "a \"b\"" }, Incarnation { 1ULL << 63U } },
        ProcessId { VmName { "c" }, Incarnation { 7 } }, 1'800'000'000'123 };
    CHECK(parseShardRecord(formatShardRecord(record)) == record);
}

TEST_CASE("malformed shard records are rejected" * test_suite("[jobs]"))
{
    for (const auto* text : { "", "x", "[]", "1", "{}", R"({"epoch":"1"})", R"({"epoch":"1","primary":"a"})",
             R"({"epoch":"0","primary":{"vm":"a","incarnation":"1"}})",
             R"({"epoch":"1","primary":{"vm":"a","incarnation":"1"},"backup":{}})" })
        CHECK_FALSE(parseShardRecord(text).has_value());
}

// Guards against two jobs of different client accounts that share one record.
TEST_CASE("different parts give different job keys" * test_suite("[jobs]"))
{
    const auto key = [](const char* clientAccount, const char* home, const char* id) {
        return makeJobKey(ClientAccountName { clientAccount }, FailureDomain { home }, JobId { id });
    };
    CHECK(key("a/b", "c", "d") != key("a", "b/c", "d"));
    CHECK(key("a%2Fb", "c", "d") != key("a/b", "c", "d"));
    CHECK(jobIdOf(key("a", "b", "x/y%2F%z")) == JobId { "x/y%2F%z" });
}

// Guards against a resubmitted job that is routed to another shard and started again.
TEST_CASE("the home and shard of a job id are the same in every process and release" * test_suite("[jobs]"))
{
    // The published FNV-1a value of the empty text, passed through the finalizer. A change would place every job anew.
    CHECK(stableHash("") == 0xefd01f60ba992926ULL);
    const std::vector<FailureDomain> domains { FailureDomain { "Omaruru" }, FailureDomain { "Karibib" } };
    const HomePlacement forward(domains);
    const HomePlacement backward({ domains.rbegin(), domains.rend() });
    for (const auto* id : { "job-1", "job-2", "job-3" })
        CHECK(forward.homeOf(JobId { id }) == backward.homeOf(JobId { id }));
}
