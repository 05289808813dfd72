#include "balsammill/jobs/HomePlacement.h"
#include "balsammill/jobs/JobIdentity.h"
#include "balsammill/jobs/ShardRecord.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using doctest::test_suite;

TEST_CASE("a shard record keeps all 64 bits of its numbers as text" * test_suite("[jobs]"))
{
    const ShardRecord record { Epoch { ~std::uint64_t { 0 } }, { VmName { "a \"b\"" }, Incarnation { 1ULL << 63U } },
        ProcessId { VmName { "c" }, Incarnation { 7 } }, 1'800'000'000'123 };
    CHECK(parseShardRecord(formatShardRecord(record)) == record);
}

TEST_CASE("a text that is no shard record is rejected" * test_suite("[jobs]"))
{
    for (const auto* text : { "", "x", "[]", "1", "{}", R"({"epoch":"1"})", R"({"epoch":"1","primary":"a"})",
             R"({"epoch":"0","primary":{"vm":"a","incarnation":"1"}})",
             R"({"epoch":"1","primary":{"vm":"a","incarnation":"1"},"backup":{}})" })
        CHECK_FALSE(parseShardRecord(text).has_value());
}

TEST_CASE("different parts never give the same job key" * test_suite("[jobs]"))
{
    const auto key = [](const char* clientAccount, const char* home, const char* id) {
        return makeJobKey(ClientAccountName { clientAccount }, FailureDomain { home }, JobId { id });
    };
    CHECK(key("a/b", "c", "d") != key("a", "b/c", "d"));
    CHECK(key("a%2Fb", "c", "d") != key("a/b", "c", "d"));
    CHECK(jobIdOf(key("a", "b", "x/y%2F%z")) == JobId { "x/y%2F%z" });
}

TEST_CASE("home and shard of a job id are the same in every process and release" * test_suite("[jobs]"))
{
    // Published values of FNV-1a pass through the final mix; a change would move every job.
    CHECK(stableHash("") == 0xefd01f60ba992926ULL);
    const std::vector<FailureDomain> domains { FailureDomain { "Omaruru" }, FailureDomain { "Karibib" } };
    const HomePlacement forward(domains);
    const HomePlacement backward({ domains.rbegin(), domains.rend() });
    for (const auto* id : { "job-1", "job-2", "job-3" })
        CHECK(forward.homeOf(JobId { id }) == backward.homeOf(JobId { id }));
}
