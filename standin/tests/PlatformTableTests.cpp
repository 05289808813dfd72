#include "HttpService.h"
#include "PlatformService.h"
#include "PlatformTable.h"

#include "balsammill/platform/PlatformClient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Standin;

namespace {

struct RunningPlatform {
    PlatformService service { 1 };
    HttpService http { { .handler = [this](auto& request, auto& response) { service.handle(request, response); } } };
    PlatformClient client { { .address = NetworkAddress("127.0.0.1:" + std::to_string(http.port())) } };

    int put(const std::string& path, const std::string& body) const
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", http.port());
        Poco::Net::HTTPRequest request("PUT", path, "HTTP/1.1");
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
    const RunningPlatform platform;
    const auto first = platform.client.conditionalWrite("a/b c", "one", std::nullopt);
    REQUIRE(std::holds_alternative<Written>(first));
    CHECK(std::holds_alternative<WriteConflict>(platform.client.conditionalWrite("a/b c", "two", std::nullopt)));
    const auto tag = std::get<Written>(first).etag;
    const auto second = platform.client.conditionalWrite("a/b c", "two", tag);
    REQUIRE(std::holds_alternative<Written>(second));
    CHECK(std::holds_alternative<WriteConflict>(platform.client.conditionalWrite("a/b c", "three", tag)));
    CHECK(std::holds_alternative<WriteConflict>(platform.client.conditionalWrite("absent", "x", tag)));

    const auto listed = platform.client.list("a/");
    REQUIRE(std::holds_alternative<std::vector<TableValue>>(listed));
    const auto& values = std::get<std::vector<TableValue>>(listed);
    REQUIRE(values.size() == 1);
    CHECK(values[0].value == "two");
    CHECK(values[0].etag == std::get<Written>(second).etag);
}

// Guards against a lost answer that has no effect, which would not exercise the reading back.
TEST_CASE("A write whose answer is lost has taken effect, and an outage has none")
{
    const RunningPlatform platform;
    REQUIRE(platform.put("/control/faults", R"({"lose_answers":1})") == 200);
    CHECK(std::holds_alternative<WriteInDoubt>(platform.client.conditionalWrite("key", "value", std::nullopt)));
    const auto read = platform.client.read("key");
    REQUIRE(std::holds_alternative<TableValue>(read));
    CHECK(std::get<TableValue>(read).value == "value");

    REQUIRE(platform.put("/control/faults", R"({"lose_answers":0,"outage":true})") == 200);
    CHECK(std::holds_alternative<WriteInDoubt>(platform.client.conditionalWrite("other", "value", std::nullopt)));
    CHECK(std::holds_alternative<PlatformUnavailable>(platform.client.read("key")));
    REQUIRE(platform.put("/control/faults", R"({"outage":false})") == 200);
    CHECK(std::holds_alternative<KeyAbsent>(platform.client.read("other")));
    CHECK(platform.put("/control/faults", R"({"lose_answers":2})") == 400);
}

// Guards against a VM list without lag, with which tests of membership would not see stale lists.
TEST_CASE("A VM list becomes visible after the lag")
{
    VmListHistory history;
    const TimePoint start(std::chrono::seconds(100));
    const Duration lag(std::chrono::seconds(10));
    CHECK(history.visible(start, lag) == R"({"vms":[]})");
    history.set("first", start);
    CHECK(history.visible(start, lag) == "first");
    history.set("second", start + std::chrono::seconds(1));
    history.set("third", start + std::chrono::seconds(2));
    CHECK(history.visible(start + std::chrono::seconds(10), lag) == "first");
    CHECK(history.visible(start + std::chrono::seconds(11), lag) == "second");
    CHECK(history.visible(start + std::chrono::seconds(12), lag) == "third");
    CHECK(history.visible(start + std::chrono::seconds(2), Duration(0)) == "third");
}

// Guards against a platform that absorbs any number of writes.
TEST_CASE("Writes over the limit wait their turn and are refused after a bound")
{
    WritePacer pacer;
    const TimePoint now(std::chrono::seconds(100));
    CHECK(pacer.reserve(now, 0) == now);
    CHECK(pacer.reserve(now, 2) == now);
    CHECK(pacer.reserve(now, 2) == now + std::chrono::milliseconds(500));
    for (int i = 0; i < 9; ++i)
        CHECK(pacer.reserve(now, 2).has_value());
    CHECK_FALSE(pacer.reserve(now, 2).has_value());
    CHECK(pacer.reserve(now + std::chrono::seconds(60), 2) == now + std::chrono::seconds(60));
}
