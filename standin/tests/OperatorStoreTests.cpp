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

// Guards against a table on which two writers can both win, which would hide split brains from the tests.
TEST_CASE("The table accepts one of two conditional writes")
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

// Guards against a stand-in that gives other rows than the ones asked for, which hides faults of its clients.
TEST_CASE("A read gives the key that was asked for, and long lists come in pages")
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

// Guards against a lost answer that has no effect, which would not exercise the reading back.
TEST_CASE("A write whose answer is lost has taken effect, and an outage has none")
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

// Guards against a delayed write that has no effect, which would not exercise late writes.
TEST_CASE("A write that is delayed beyond its sender's patience still takes effect")
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

// Guards against a store that absorbs any number of writes.
TEST_CASE("Writes over the rate are refused")
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

// Guards against tests that believe to have registered an upstream.
TEST_CASE("Other processes write and remove rows by the control paths")
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
