#include "Fleet.h"

#include <doctest/doctest.h>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

std::string registration(const std::string& address, const std::string& capacity)
{
    return R"({"service":"tanim","zone":"valencia","state":"ready","labels":["a","r1-1"],"born":1700,"address":")"
        + address + R"(","capacity":)" + capacity + "}";
}

std::vector<std::string> invalidRegistrations()
{
    std::string nested;
    for (int i = 0; i < 200'000; ++i)
        nested += "[";
    return { nested, R"({"service":)" + nested + std::string(nested.size(), ']') + "}", R"({"born":1e999})",
        registration("127.0.0.1:99999", R"({"cpu":1})"), registration("127.0.0.1:0", R"({"cpu":1})"),
        registration("127.0.0.1", R"({"cpu":1})"), registration("nowhere:80", R"({"cpu":1})"),
        registration("127.0.0.1:9", R"({"cpu":9223372036854775807})"), registration("127.0.0.1:9", R"({"cpu":1e300})"),
        registration("127.0.0.1:9", R"({"cpu":-5})"), registration("127.0.0.1:9", "7"), "", "[]", "not JSON",
        std::string("\xff\x00\xfe", 3) };
}

bool allEntriesServe(Fleet& fleet, int round)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        const auto id = "000000000000" + std::to_string(1'000 * (round + 1) + static_cast<int>(i));
        if (fleet.submitUntilAnswered(i, id, 3).status != 200)
            return false;
    }
    return true;
}

bool allEntriesRunning(Fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        if (fleet.entry(i).waitForExit(in(0s)))
            return false;
    }
    return true;
}

std::size_t usableUpstreamCount(Fleet& fleet)
{
    const auto metrics = fleet.metrics(fleet.ownerOf("valencia"));
    const std::string name = R"(balsammill_shard_usable_upstreams{shard="valencia/0"} )";
    const auto at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoul(metrics.substr(at + name.size()));
}

} // namespace

// Guards against one invalid registration that crashes the entries that read the upstream list, or that stops them from
// reading the rest of it.
TEST_CASE("Invalid registrations crash no entry, and the valid upstreams are used [node]")
{
    Fleet fleet({ .name = "node-odd-upstreams" });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(allEntriesServe(fleet, 0));
    const auto invalid = invalidRegistrations();
    for (std::size_t i = 0; i < invalid.size(); ++i)
        fleet.store().put("servers", "i-odd-" + std::to_string(i), invalid[i]);
    CHECK(allEntriesServe(fleet, 1));
    CHECK(allEntriesRunning(fleet));
    REQUIRE(waitUntil(in(20s), [&] { return usableUpstreamCount(fleet) == 3; }));
    // A valid registration is overwritten with an invalid one, and then restored.
    const auto& changed = fleet.upstream(0);
    fleet.store().put("servers", changed.id(), invalid[1]);
    CHECK(waitUntil(in(20s), [&] { return usableUpstreamCount(fleet) == 2; }));
    fleet.store().put("servers", changed.id(), changed.registration());
    CHECK(waitUntil(in(20s), [&] { return usableUpstreamCount(fleet) == 3; }));
    // A restarted entry reads the whole table at once instead of single changes.
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    REQUIRE(fleet.waitUntilReady());
    CHECK(allEntriesServe(fleet, 2));
    CHECK(allEntriesRunning(fleet));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against one invalid shard record that crashes the entries that read it, and later every entry that starts.
TEST_CASE("Invalid shard records crash no entry [node]")
{
    Fleet fleet({ .name = "node-odd-shards" });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(allEntriesServe(fleet, 0));
    // Start of a ShardOwnerRecord with epoch 1 and the vm "other", up to the tag of its peer address.
    const std::string head = "\x08\x01\x12\x05other\x22";
    fleet.store().put("shards", "valencia/7", head + "\x0d" + "1.2.3.4:99999");
    fleet.store().put("shards", "valencia/8", head + "\x07" + "nowhere");
    fleet.store().put("shards", "valencia/9", "\xff\xff");
    CHECK(allEntriesServe(fleet, 1));
    CHECK(allEntriesRunning(fleet));
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    CHECK(fleet.waitUntilReady());
    CHECK(allEntriesServe(fleet, 2));
    CHECK(allEntriesRunning(fleet));
    CHECK_EQ(fleet.violations(), "");
}
