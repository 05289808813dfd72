#include "ScriptedServer.h"

#include "balsammill/platform/PlatformClient.h"

#include <doctest/doctest.h>

#include <atomic>
#include <future>

using namespace Balsammill;

namespace {

PlatformClient clientOf(const ScriptedServer& server, Duration timeout = std::chrono::seconds(5))
{
    return PlatformClient({ .address = server.address(), .timeout = timeout });
}

WriteResult writeAnsweredBy(const std::string& answer)
{
    ScriptedServer server([&](const std::string&) { return answer; });
    return clientOf(server).conditionalWrite("key", "value", ETag("\"1\""));
}

NetworkAddress refusingAddress()
{
    // The port stays bound for the whole process, but nobody listens on it.
    static Poco::Net::StreamSocket reserved;
    static const auto address = [] {
        reserved = Poco::Net::StreamSocket(Poco::Net::SocketAddress::IPv4);
        reserved.impl()->bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        return reserved.address().toString();
    }();
    return NetworkAddress(address);
}

} // namespace

// Guards against reporting a write as possibly done, or as certainly not done, when the opposite is known.
TEST_CASE("A write tells apart what certainly failed and what is in doubt")
{
    const PlatformClient refused({ .address = refusingAddress() });
    CHECK(std::holds_alternative<WriteNotSent>(refused.conditionalWrite("key", "value", std::nullopt)));
    const PlatformClient misconfigured({ .address = NetworkAddress("nonsense") });
    CHECK(std::holds_alternative<WriteNotSent>(misconfigured.conditionalWrite("key", "value", std::nullopt)));

    CHECK(std::holds_alternative<WriteInDoubt>(writeAnsweredBy("")));
    CHECK(std::holds_alternative<WriteInDoubt>(writeAnsweredBy("HTTP/1.1 20")));
    CHECK(std::holds_alternative<WriteInDoubt>(writeAnsweredBy(ScriptedServer::answer("500 Error", ""))));
    CHECK(std::holds_alternative<WriteInDoubt>(writeAnsweredBy(ScriptedServer::answer("503 Unavailable", ""))));
    CHECK(std::holds_alternative<WriteInDoubt>(writeAnsweredBy(ScriptedServer::answer("200 OK", ""))));
    CHECK(std::holds_alternative<WriteConflict>(writeAnsweredBy(ScriptedServer::answer("412 Conflict", ""))));

    const auto written = writeAnsweredBy(ScriptedServer::answer("200 OK", "", "ETag: \"7\"\r\n"));
    REQUIRE(std::holds_alternative<Written>(written));
    CHECK(std::get<Written>(written).etag == ETag("\"7\""));
}

// Guards against unconditional writes and against keys that change the path of the request.
TEST_CASE("A write carries its condition and an encoded key")
{
    std::vector<std::string> requests;
    {
        ScriptedServer server([&](const std::string& request) {
            requests.push_back(request);
            return ScriptedServer::answer("412 Conflict", "");
        });
        clientOf(server).conditionalWrite("shards/north east/1?x#%", "one", std::nullopt);
        clientOf(server).conditionalWrite("key", "two", ETag("\"5\""));
    }
    REQUIRE(requests.size() == 2);
    CHECK(requests[0].starts_with("PUT /v1/table/shards%2Fnorth%20east%2F1%3Fx%23%25 HTTP/1.1\r\n"));
    CHECK(requests[0].find("If-None-Match: *\r\n") != std::string::npos);
    CHECK(requests[0].ends_with("\r\n\r\none"));
    CHECK(requests[1].find("If-Match: \"5\"\r\n") != std::string::npos);
    CHECK(requests[1].find("If-None-Match") == std::string::npos);
}

// Guards against a caller that is held by a platform that accepts connections and then stays silent or trickles bytes.
TEST_CASE("A call ends at its timeout even while bytes still arrive")
{
    Poco::Net::ServerSocket listener(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::atomic<bool> done { false };
    auto trickle = std::async(std::launch::async, [&] {
        auto connection = listener.acceptConnection();
        const std::string head = "HTTP/1.1 200 OK\r\nX: ";
        connection.sendBytes(head.data(), static_cast<int>(head.size()));
        while (!done) {
            try {
                connection.sendBytes("x", 1, MSG_NOSIGNAL);
            } catch (const Poco::Exception&) {
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    const PlatformClient client(
        { .address = NetworkAddress(listener.address().toString()), .timeout = std::chrono::milliseconds(150) });
    CHECK(std::holds_alternative<WriteInDoubt>(client.conditionalWrite("key", "value", std::nullopt)));
    done = true;
}

// Guards against taking half a value for the whole one.
TEST_CASE("A read gives the whole value, absence or unavailability")
{
    std::string answer;
    ScriptedServer server([&](const std::string&) { return answer; });
    const auto client = clientOf(server);

    const std::string binary("a\0b\r\n\xff", 6);
    answer = ScriptedServer::answer("200 OK", binary, "ETag: \"3\"\r\n");
    const auto read = client.read("key");
    REQUIRE(std::holds_alternative<TableValue>(read));
    CHECK(std::get<TableValue>(read).value == binary);
    CHECK(std::get<TableValue>(read).etag == ETag("\"3\""));

    answer = ScriptedServer::answer("404 Not Found", "");
    CHECK(std::holds_alternative<KeyAbsent>(client.read("key")));
    for (const auto* bad : { "HTTP/1.1 200 OK\r\nETag: \"3\"\r\nContent-Length: 10\r\n\r\nhalf",
             "HTTP/1.1 200 OK\r\n\r\n", "nonsense\r\n\r\n" }) {
        answer = bad;
        CHECK(std::holds_alternative<PlatformUnavailable>(client.read("key")));
    }
    answer = ScriptedServer::answer("500 Error", "");
    CHECK(std::holds_alternative<PlatformUnavailable>(client.read("key")));
}

// Guards against a list that silently loses rows, which would look like absent keys.
TEST_CASE("A listing of the table is complete or unavailable")
{
    std::string body;
    ScriptedServer server([&](const std::string&) { return ScriptedServer::answer("200 OK", body); });
    const auto client = clientOf(server);

    body = R"({"values":[{"key":"a/1","value_base64":"AAH/","etag":"\"2\""}]})";
    const auto listed = client.list("a/");
    REQUIRE(std::holds_alternative<std::vector<TableValue>>(listed));
    const auto& values = std::get<std::vector<TableValue>>(listed);
    REQUIRE(values.size() == 1);
    CHECK(values[0].value == std::string("\0\x01\xff", 3));
    CHECK(values[0].etag == ETag("\"2\""));

    for (const auto* bad : { R"({"values":[{"key":"a"}]})", R"({"values":[7]})", R"({})", R"([])", "{",
             R"({"values":[{"key":"a","value_base64":"*?*?","etag":"\"2\""}]})" }) {
        body = bad;
        CHECK_MESSAGE(std::holds_alternative<PlatformUnavailable>(client.list("a/")), bad);
    }
}

// Guards against one bad row that hides the whole fleet, and against a bad document that looks like an empty fleet.
TEST_CASE("The VM list skips malformed rows and rejects malformed documents")
{
    std::string body;
    ScriptedServer server([&](const std::string&) { return ScriptedServer::answer("200 OK", body); });
    const auto client = clientOf(server);

    body = R"({"vms":[
        {"name":"u1","role":"upstream","failure_domain":"Valencia","rack":"r2","address":"10.0.0.1:80","label":"tanim",
         "slots":8,"leaving":true},
        {"name":"e1","role":"entry","failure_domain":"Valencia","address":"[::1]:9000"},
        {"name":"u1","role":"upstream","failure_domain":"Valencia","address":"10.0.0.2:80","label":"tanim"},
        {"name":"u2","role":"spare","failure_domain":"Valencia","address":"10.0.0.2:80","label":"tanim"},
        {"name":"u3","role":"upstream","failure_domain":"Valencia","address":"10.0.0.2:80","label":"tanim","slots":-1},
        {"name":"u4","role":"upstream","failure_domain":"Valencia","address":"some.host:80","label":"tanim"},
        {"name":"u5","role":"upstream","failure_domain":"Valencia","address":"10.0.0.2:80"},
        {"name":"","role":"entry","failure_domain":"Valencia","address":"10.0.0.2:80"}, 7, null]})";
    const auto listed = client.listVms();
    REQUIRE(std::holds_alternative<std::vector<ListedVm>>(listed));
    const auto& vms = std::get<std::vector<ListedVm>>(listed);
    REQUIRE(vms.size() == 2);
    CHECK(vms[0].name == VmName("u1"));
    CHECK(vms[0].role == VmRole::Upstream);
    CHECK(vms[0].slots == Slots { 8 });
    CHECK(vms[0].leaving);
    CHECK(vms[0].rack == "r2");
    CHECK(vms[1].role == VmRole::Entry);
    CHECK_FALSE(vms[1].leaving);

    for (const auto* bad : { "", "{", "[]", "{}", R"({"vms":{}})" }) {
        body = bad;
        CHECK_MESSAGE(std::holds_alternative<PlatformUnavailable>(client.listVms()), bad);
    }
}
