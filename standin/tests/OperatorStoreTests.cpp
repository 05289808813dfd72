#include "OperatorStore.h"
#include "platform/TableClient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <doctest/doctest.h>

using namespace Balsammill;

namespace {

struct RunningStore {
    ::Standin::LoopThread loop;
    ::Standin::OperatorStore store { loop };
    Platform::TableClient client { { .address = NetworkAddress(store.address()),
        .timeout = std::chrono::milliseconds(500) } };

    int send(const std::string& method, const std::string& path, const std::string& body = {}) const
    {
        const auto address = store.address();
        Poco::Net::HTTPClientSession session(
            "127.0.0.1", static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1))));
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus();
    }
};

} // namespace

// Guards against a stand-in that accepts both of two conflicting writes, which would hide split-brain faults from
// tests.
TEST_CASE("The store accepts only one of two conflicting conditional writes")
{
    const RunningStore running;
    const auto first = running.client.conditionalWrite("a/b c", "one", std::nullopt);
    REQUIRE(std::holds_alternative<Written>(first));
    CHECK(std::holds_alternative<WriteConflict>(running.client.conditionalWrite("a/b c", "two", std::nullopt)));
    const auto tag = std::get<Written>(first).etag;
    const auto second = running.client.conditionalWrite("a/b c", "two", tag);
    REQUIRE(std::holds_alternative<Written>(second));
    CHECK(std::holds_alternative<WriteConflict>(running.client.conditionalWrite("a/b c", "three", tag)));
    CHECK(std::holds_alternative<WriteConflict>(running.client.conditionalWrite("absent", "x", tag)));

    const auto listed = running.client.list("a/");
    REQUIRE(std::holds_alternative<std::vector<TableValue>>(listed));
    const auto& values = std::get<std::vector<TableValue>>(listed);
    REQUIRE(values.size() == 1);
    CHECK(values[0].value == "two");
    CHECK(values[0].etag == std::get<Written>(second).etag);
}

// Guards against a stand-in that returns other rows than the requested ones, which would hide faults of its clients.
TEST_CASE("A read returns the requested key, and a long list is returned in pages")
{
    const RunningStore running;
    constexpr int count = 620;
    for (int i = 0; i < count; ++i)
        REQUIRE(
            running.send("PUT", "/control/rows/balsammill/key" + std::to_string(1'000 + i), std::to_string(i)) == 200);
    const auto read = running.client.read("key1600");
    REQUIRE(std::holds_alternative<TableValue>(read));
    CHECK(std::get<TableValue>(read).value == "600");
    const auto listed = running.client.list("key");
    REQUIRE(std::holds_alternative<std::vector<TableValue>>(listed));
    CHECK(std::get<std::vector<TableValue>>(listed).size() == count);
}

// Guards against a stand-in that drops the write together with its answer. Tests would then not exercise the read that
// resolves a write in doubt.
TEST_CASE("A write whose answer is lost takes effect, and a write during an outage does not")
{
    const RunningStore running;
    REQUIRE(running.send("PUT", "/control/faults", R"({"lose_answers":1})") == 200);
    CHECK(std::holds_alternative<WriteInDoubt>(running.client.conditionalWrite("key", "value", std::nullopt)));
    const auto read = running.client.read("key");
    REQUIRE(std::holds_alternative<TableValue>(read));
    CHECK(std::get<TableValue>(read).value == "value");

    REQUIRE(running.send("PUT", "/control/faults", R"({"lose_answers":0,"outage":true})") == 200);
    CHECK(std::holds_alternative<WriteNotSent>(running.client.conditionalWrite("other", "value", std::nullopt)));
    CHECK(std::holds_alternative<PlatformUnavailable>(running.client.read("key")));
    REQUIRE(running.send("PUT", "/control/faults", R"({"outage":false})") == 200);
    CHECK(std::holds_alternative<KeyAbsent>(running.client.read("other")));
    CHECK(running.send("PUT", "/control/faults", R"({"lose_answers":2})") == 400);
    CHECK(running.send("PUT", "/control/unknown", "{}") == 404);
}

// Guards against a stand-in that discards a delayed write. Tests would then not exercise writes that take effect late.
TEST_CASE("A write that is delayed beyond its sender's timeout still takes effect")
{
    const RunningStore running;
    REQUIRE(running.send("PUT", "/control/faults", R"({"write_delay_ms":800})") == 200);
    CHECK(std::holds_alternative<WriteInDoubt>(running.client.conditionalWrite("key", "late", std::nullopt)));
    const auto deadline = monotonicNow() + std::chrono::seconds(10);
    bool found = false;
    while (!found && monotonicNow() < deadline)
        found = std::holds_alternative<TableValue>(running.client.read("key"));
    CHECK(found);
}

// Guards against a stand-in that does not enforce its write rate.
TEST_CASE("Writes above the configured rate are refused")
{
    const RunningStore running;
    REQUIRE(running.send("PUT", "/control/faults", R"({"writes_per_second":2})") == 200);
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        const auto result = running.client.conditionalWrite("key" + std::to_string(i), "x", std::nullopt);
        refused += std::holds_alternative<WriteNotSent>(result) ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(refused < 8);
}

// Guards against control requests that are acknowledged but have no effect: a test would run without the upstream that
// it has registered.
TEST_CASE("Other processes write and remove rows through the control paths")
{
    const RunningStore running;
    const std::string row
        = R"({"service":"tanim","zone":"valencia","address":"10.0.0.1:80","slots":8,"state":"draining"})";
    REQUIRE(running.send("PUT", "/control/rows/servers/u1", row) == 200);
    const auto listed = running.client.listUpstreams();
    REQUIRE(std::holds_alternative<std::vector<ListedUpstream>>(listed));
    REQUIRE(std::get<std::vector<ListedUpstream>>(listed).size() == 1);
    CHECK(std::get<std::vector<ListedUpstream>>(listed)[0].leaving);
    REQUIRE(running.send("DELETE", "/control/rows/servers/u1") == 200);
    CHECK(std::get<std::vector<ListedUpstream>>(running.client.listUpstreams()).empty());
    CHECK(running.send("PUT", "/control/rows/servers", row) == 400);
}
