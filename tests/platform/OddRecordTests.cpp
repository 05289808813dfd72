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

std::vector<std::string> oddRegistrations()
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

bool allServe(Fleet& fleet, int round)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        const auto id = "000000000000" + std::to_string(1'000 * (round + 1) + static_cast<int>(i));
        if (fleet.submitUntilAnswered(i, id, 3).status != 200)
            return false;
    }
    return true;
}

bool allRun(Fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.entryCount(); ++i) {
        if (fleet.entry(i).waitForExit(in(0s)))
            return false;
    }
    return true;
}

std::size_t usableUpstreams(Fleet& fleet)
{
    const auto metrics = fleet.metrics(fleet.ownerOf("valencia"));
    const std::string name = R"(balsammill_shard_usable_upstreams{shard="valencia/0"} )";
    const auto at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoul(metrics.substr(at + name.size()));
}

} // namespace

// Guards against one odd registration that ends the processes which read the list, or their reading of it.
TEST_CASE("Odd registrations end no entry, and the other upstreams serve [node]")
{
    Fleet fleet({ .name = "node-odd-upstreams" });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(allServe(fleet, 0));
    const auto odd = oddRegistrations();
    for (std::size_t i = 0; i < odd.size(); ++i)
        fleet.store().put("servers", "i-odd-" + std::to_string(i), odd[i]);
    CHECK(allServe(fleet, 1));
    CHECK(allRun(fleet));
    REQUIRE(waitUntil(in(20s), [&] { return usableUpstreams(fleet) == 3; }));
    // A registration that names an upstream no more, and one that names it again.
    const auto& changed = fleet.upstream(0);
    fleet.store().put("servers", changed.id(), odd[1]);
    CHECK(waitUntil(in(20s), [&] { return usableUpstreams(fleet) == 2; }));
    fleet.store().put("servers", changed.id(), changed.registration());
    CHECK(waitUntil(in(20s), [&] { return usableUpstreams(fleet) == 3; }));
    // A new process reads the whole table at once.
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    REQUIRE(fleet.waitUntilReady());
    CHECK(allServe(fleet, 2));
    CHECK(allRun(fleet));
    CHECK_EQ(fleet.violations(), "");
}

// Guards against one odd record of a shard that ends every entry which reads it, and every one that starts after that.
TEST_CASE("A record of a shard with an address that cannot be connected to ends no entry [node]")
{
    Fleet fleet({ .name = "node-odd-shards" });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE(allServe(fleet, 0));
    // A ShardOwnerRecord with epoch 1, the vm "other" and its peer address.
    const std::string head = "\x08\x01\x12\x05other\x22";
    fleet.store().put("shards", "valencia/7", head + "\x0d" + "1.2.3.4:99999");
    fleet.store().put("shards", "valencia/8", head + "\x07" + "nowhere");
    fleet.store().put("shards", "valencia/9", "\xff\xff");
    CHECK(allServe(fleet, 1));
    CHECK(allRun(fleet));
    for (std::size_t i = 0; i < fleet.entryCount(); ++i)
        fleet.restart(i);
    CHECK(fleet.waitUntilReady());
    CHECK(allServe(fleet, 2));
    CHECK(allRun(fleet));
    CHECK_EQ(fleet.violations(), "");
}
