#include "OperatorStore.h"
#include "ownership/UpstreamRegistry.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

std::string registration(const std::string& address = "127.0.0.1:9")
{
    return R"({"service":"tanim","address":")" + address
        + R"(","zone":"valencia","state":"ready","capacity":{"cpu":16000,"memory_limit_mb":1024},"born":1700})";
}

/// A registry on a separate event loop, against the stand-in store.
struct Fixture {
    Standin::LoopThread storeLoop;
    Standin::OperatorStore operatorStore { storeLoop };
    StructuredLog log { { .vm = "front-1" } };
    Metrics metrics;
    std::atomic<int> failedCalls { 0 };
    Standin::LoopThread ownLoop;
    std::unique_ptr<NodeContext> context;
    std::unique_ptr<Platform::Store> store;
    std::unique_ptr<UpstreamRegistry> registry;

    Fixture()
    {
        ownLoop.run([this] {
            context = std::make_unique<NodeContext>(NodeContext {
                .loop = ownLoop.context(), .settings = {}, .incarnation = {}, .log = log, .metrics = metrics });
            store = std::make_unique<Platform::Store>(ownLoop.context(),
                Platform::StoreOptions { .address = NetworkAddress(operatorStore.address()),
                    .observer = [this](Platform::StoreCall, Platform::StoreStatus status, Duration) {
                        failedCalls += status == Platform::StoreStatus::Ok ? 0 : 1;
                    } });
            registry = std::make_unique<UpstreamRegistry>(*context, *store,
                UpstreamRegistry::Handlers {
                    .changed = [](const Shards::UpstreamInfo&) {}, .removed = [](const Shards::UpstreamId&) {} });
            registry->follow(true);
        });
    }
    ~Fixture()
    {
        ownLoop.run([this] {
            registry.reset();
            store.reset();
        });
    }

    bool isRegistered(const std::string& id)
    {
        return ownLoop.run([&] {
            registry->advance(monotonicNow());
            return registry->upstreams().contains(Shards::UpstreamId(id));
        });
    }

    template <typename Condition> static bool waitUntil(Condition condition)
    {
        const auto deadline = monotonicNow() + 20s;
        while (!condition() && monotonicNow() < deadline)
            std::this_thread::sleep_for(10ms);
        return condition();
    }
};

} // namespace

// Guards against a malformed registration that terminates the process or stops the reading of other registrations.
TEST_CASE("Malformed registrations do not keep the registry from reading the others")
{
    Fixture fixture;
    fixture.operatorStore.put("servers", "i-1", registration());
    fixture.operatorStore.put("servers", "i-2", std::string(20'000, '['));
    fixture.operatorStore.put("servers", "i-3", R"({"born":1e999})");
    fixture.operatorStore.put("servers", "i-4", registration("127.0.0.1:99999"));
    fixture.operatorStore.put("servers", "i-5", std::string("\xff\x00\xfe", 3));
    fixture.operatorStore.put("servers", "i-6", registration());
    REQUIRE(fixture.waitUntil([&] { return fixture.isRegistered("i-6"); }));
    CHECK(fixture.isRegistered("i-1"));
    for (const auto* malformed : { "i-2", "i-3", "i-4", "i-5" })
        CHECK_FALSE_MESSAGE(fixture.isRegistered(malformed), malformed);
}

// Guards against tasks that are sent to an upstream whose registration is no longer valid. The grace period after a
// store outage applies only to registrations that disappear, because those come back.
TEST_CASE("A registration that becomes malformed soon after a store outage removes the upstream at once")
{
    Fixture fixture;
    fixture.operatorStore.put("servers", "i-1", registration());
    REQUIRE(fixture.waitUntil([&] { return fixture.isRegistered("i-1"); }));
    fixture.operatorStore.setOutage(true);
    REQUIRE(fixture.waitUntil([&] { return fixture.failedCalls > 0; }));
    fixture.operatorStore.put("servers", "i-1", registration("127.0.0.1:99999"));
    fixture.operatorStore.put("servers", "i-2", registration());
    fixture.operatorStore.setOutage(false);
    // Rows arrive in version order, so the changed row has been handled by then.
    REQUIRE(fixture.waitUntil([&] { return fixture.isRegistered("i-2"); }));
    CHECK_FALSE(fixture.isRegistered("i-1"));
}
