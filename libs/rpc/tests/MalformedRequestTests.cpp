#include "RawConnection.h"
#include "ServerFixture.h"

#include <doctest/doctest.h>

#include <atomic>

using namespace Balsammill;

namespace {

struct BadRequest {
    const char* description;
    std::string bytes;
    int status;
    std::string code;
    std::string expectedText;
};

std::string post(const std::string& headers, const std::string& body = "{}")
{
    return "POST /test.Echo/Say HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

std::string jsonPost(const std::string& headers, const std::string& body = "{}")
{
    return post("Content-Type: application/json\r\n" + headers, body);
}

const std::string length2 = "Content-Length: 2\r\n";

std::vector<BadRequest> malformedLines()
{
    return {
        { "garbage", "\x01\x02\x03\xff\r\n\r\n", 400, "invalid_argument", "control character" },
        { "high bytes", "POST /a/\xff\xfe HTTP/1.1\r\n\r\n", 404, "unimplemented", "/package.Service" },
        { "high bytes in a name", "POST /a/b HTTP/1.1\r\n\xff: a\r\n\r\n", 400, "invalid_argument", "name: value" },
        { "a NUL", std::string("POST /a/b HTTP/1.1\r\nX: \0\r\n\r\n", 28), 400, "invalid_argument",
            "control character" },
        { "a TLS ClientHello", std::string("\x16\x03\x01\x02\x00\x01\x00", 7), 400, "invalid_argument",
            "not an HTTP message" },
        { "plain text", "hello\r\n\r\n", 400, "invalid_argument", "not an HTTP request" },
        { "HTTP/2", "PRI * HTTP/2.0\r\n\r\n", 505, "unimplemented", "expected HTTP/1.1" },
        { "GET for a call", "GET /test.Echo/Say HTTP/1.1\r\nHost: a\r\n\r\n", 404, "not_found", "no page" },
        { "PUT", "PUT /test.Echo/Say HTTP/1.1\r\nHost: a\r\n\r\n", 405, "unimplemented", "expect POST" },
        { "DELETE", "DELETE / HTTP/1.1\r\nHost: a\r\n\r\n", 405, "unimplemented", "expect POST" },
        { "path without a method", "POST /test.Echo HTTP/1.1\r\n\r\n", 404, "unimplemented", "/package.Service" },
        { "path with a third part", "POST /a/b/c HTTP/1.1\r\n\r\n", 404, "unimplemented", "/package.Service" },
        { "path with an escape", "POST /a/%2e%2e HTTP/1.1\r\n\r\n", 404, "unimplemented", "/package.Service" },
        { "line without a colon", "POST /a/b HTTP/1.1\r\nnonsense\r\n\r\n", 400, "invalid_argument", "name: value" },
        { "blank before the colon", "POST /a/b HTTP/1.1\r\nContent-Length : 2\r\n\r\n{}", 400, "invalid_argument",
            "name: value" },
        { "folded header line", "POST /a/b HTTP/1.1\r\nHost: a\r\n folded: b\r\n\r\n", 400, "invalid_argument",
            "name: value" },
        { "oversized header", "POST /a/b HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", 413,
            "resource_exhausted", "16384" },
        { "oversized request line", "POST /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n", 413, "resource_exhausted",
            "16384" },
        { "too many header lines",
            [] {
                std::string text = "POST /a/b HTTP/1.1\r\n";
                for (int i = 0; i < 150; ++i)
                    text += "X" + std::to_string(i) + ": y\r\n";
                return text + "\r\n";
            }(),
            400, "invalid_argument", "Too many header fields" },
    };
}

std::vector<BadRequest> malformedHeaders()
{
    return {
        { "no content type", post(length2), 415, "invalid_argument", "expected application/json" },
        { "streaming content type", post("Content-Type: application/connect+proto\r\n" + length2), 415,
            "invalid_argument", "expected application/json" },
        { "compressed body", jsonPost("Content-Encoding: gzip\r\n" + length2), 501, "unimplemented", "gzip" },
        { "unsupported protocol version", jsonPost("Connect-Protocol-Version: 2\r\n" + length2), 400,
            "invalid_argument", "expected 1" },
        { "non-numeric timeout", jsonPost("Connect-Timeout-Ms: soon\r\n" + length2), 400, "invalid_argument",
            "'soon'" },
        { "negative timeout", jsonPost("Connect-Timeout-Ms: -1\r\n" + length2), 400, "invalid_argument", "'-1'" },
        { "oversized timeout", jsonPost("Connect-Timeout-Ms: 12345678901\r\n" + length2), 400, "invalid_argument",
            "10 digits" },
        { "oversized client account", jsonPost("Balsammill-Team: " + std::string(200, 't') + "\r\n" + length2), 400,
            "invalid_argument", "at most 128" },
        { "no length", jsonPost(""), 411, "invalid_argument", "neither a length nor chunks" },
        { "non-numeric length", jsonPost("Content-Length: two\r\n"), 400, "invalid_argument", "'two'" },
        { "negative length", jsonPost("Content-Length: -2\r\n"), 400, "invalid_argument", "'-2'" },
        { "length with a sign", jsonPost("Content-Length: +2\r\n"), 400, "invalid_argument", "'+2'" },
        { "length beyond 64 bits", jsonPost("Content-Length: 99999999999999999999\r\n"), 400, "invalid_argument",
            "not a length" },
        { "two lengths", jsonPost(length2 + "Content-Length: 3\r\n"), 400, "invalid_argument", "twice" },
        { "length and chunks", jsonPost(length2 + "Transfer-Encoding: chunked\r\n"), 400, "invalid_argument", "both" },
        { "unsupported transfer coding", jsonPost("Transfer-Encoding: gzip\r\n"), 400, "invalid_argument", "gzip" },
        { "oversized body", jsonPost("Content-Length: 5000\r\n", std::string(5000, ' ')), 413, "resource_exhausted",
            "5000 bytes, at most 4096" },
        { "huge declared body", jsonPost("Content-Length: 4000000000000\r\n"), 413, "resource_exhausted",
            "at most 4096" },
        { "oversized chunk", jsonPost("Transfer-Encoding: chunked\r\n", "ffff\r\n"), 413, "resource_exhausted",
            "4096" },
        { "chunk length beyond 64 bits", jsonPost("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\n"), 400,
            "invalid_argument", "length of a chunk" },
        { "chunk without a length", jsonPost("Transfer-Encoding: chunked\r\n", "xyz\r\n"), 400, "invalid_argument",
            "length of a chunk" },
        { "chunk longer than declared", jsonPost("Transfer-Encoding: chunked\r\n", "1\r\nabc\r\n0\r\n\r\n"), 400,
            "invalid_argument", "longer than its declared" },
        { "too many trailer lines",
            jsonPost("Transfer-Encoding: chunked\r\n",
                [] {
                    std::string text = "0\r\n";
                    for (int i = 0; i < 40; ++i)
                        text += "a: b\r\n";
                    return text;
                }()),
            400, "invalid_argument", "too many trailer" },
    };
}

std::vector<BadRequest> truncatedRequests()
{
    return {
        { "truncated request line", "POST /test.Ec", 400, "invalid_argument", "ended before the request" },
        { "truncated header", "POST /test.Echo/Say HTTP/1.1\r\nHost: a\r\n", 400, "invalid_argument", "ended before" },
        { "truncated body", jsonPost("Content-Length: 100\r\n"), 400, "invalid_argument", "ended before the request" },
        { "truncated chunk", jsonPost("Transfer-Encoding: chunked\r\n", "10\r\nabc"), 400, "invalid_argument",
            "ended before" },
        { "chunked body without a last chunk", jsonPost("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n"), 400,
            "invalid_argument", "ended before" },
    };
}

void checkRefused(const ServerFixture& fixture, const std::vector<BadRequest>& requests)
{
    for (const auto& bad : requests) {
        CAPTURE(std::string(bad.description));
        RawConnection connection(fixture.port());
        connection.send(bad.bytes);
        connection.finishSending();
        const auto response = connection.receiveAll();
        CAPTURE(response);
        CHECK(response.starts_with("HTTP/1.1 " + std::to_string(bad.status) + " "));
        CHECK(response.find("Balsammill-Verdict: not-run\r\n") != std::string::npos);
        CHECK(response.find("\"code\":\"" + bad.code + "\"") != std::string::npos);
        CHECK(response.find(bad.expectedText) != std::string::npos);
        CHECK(fixture.call("{}").body == "{}");
    }
}

ConnectServerOptions countingOptions(std::atomic<int>& handled)
{
    return { .maxBodyBytes = 4096, .handler = [&handled](const RpcRequest& request) {
                ++handled;
                return echo(request);
            } };
}

} // namespace

// Guards against malformed requests that reach the handler, get a misleading error or stop the server.
TEST_CASE("Each malformed request is refused as not-run and the server keeps serving")
{
    std::atomic<int> handled { 0 };
    const ServerFixture fixture(countingOptions(handled));
    int expected = 0;
    for (const auto& requests : { malformedLines(), malformedHeaders(), truncatedRequests() }) {
        checkRefused(fixture, requests);
        expected += static_cast<int>(requests.size());
    }
    CHECK(handled == expected);
}

// Guards against clients that occupy a server thread by sending slowly.
TEST_CASE("A connection that sends a request too slowly is closed")
{
    std::atomic<int> handled { 0 };
    auto options = countingOptions(handled);
    options.receiveTimeout = std::chrono::milliseconds(100);
    const ServerFixture fixture(options);
    for (const auto& start : { std::string("POST /test.Echo/Say HT"), jsonPost("Content-Length: 100\r\n") }) {
        RawConnection connection(fixture.port());
        connection.send(start);
        const auto response = connection.receiveAll();
        CAPTURE(response);
        CHECK(response.starts_with("HTTP/1.1 408 "));
        CHECK(response.find("Balsammill-Verdict: not-run") != std::string::npos);
    }
    CHECK(handled == 0);
}

// Guards against idle connections that occupy a server thread indefinitely.
TEST_CASE("An idle connection is closed without a response")
{
    ConnectServerOptions options;
    options.keepAliveTimeout = std::chrono::milliseconds(50);
    const ServerFixture fixture(options);
    RawConnection connection(fixture.port());
    CHECK(connection.receiveAll().empty());
}

// Guards against clients over the limit that wait without a response, and against a connection that is reset before the
// client can read the refusal.
TEST_CASE("A connection over the limit is refused as not-run")
{
    ConnectServerOptions options;
    options.maxConnections = 2;
    const ServerFixture fixture(options);
    RawConnection first(fixture.port());
    RawConnection second(fixture.port());
    for (auto* connection : { &first, &second }) {
        connection->send(jsonPost(length2));
        CHECK(connection->receiveUntil("{}").starts_with("HTTP/1.1 200 "));
    }
    RawConnection third(fixture.port());
    third.send(jsonPost(length2));
    const auto response = third.receiveAll();
    CAPTURE(response);
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("Balsammill-Verdict: not-run") != std::string::npos);
    CHECK(response.find("limit of 2 connections") != std::string::npos);
    CHECK(response.find('<') == std::string::npos);
}

// Guards against valid but unusual requests that are refused, and against pipelined requests that are mixed up.
TEST_CASE("Unusual but valid requests are served")
{
    const ServerFixture fixture;
    const std::string requests[] {
        jsonPost("Transfer-Encoding: chunked\r\n", "1;x=y\r\n{\r\n1\r\n}\r\n0\r\nTrailer: z\r\n\r\n"),
        "\r\n" + jsonPost(length2),
        "POST /test.Echo/Say HTTP/1.1\nContent-Type: Application/JSON; charset=utf-8\nContent-Length: 2\n\n{}",
    };
    RawConnection connection(fixture.port());
    for (const auto& request : requests) {
        connection.send(request);
        const auto response = connection.receiveUntil("{}");
        CAPTURE(response);
        CHECK(response.starts_with("HTTP/1.1 200 "));
        CHECK(response.find("Balsammill-Verdict: ran\r\n") != std::string::npos);
    }
    connection.send(jsonPost(length2) + jsonPost(length2, "[]"));
    CHECK(connection.receiveUntil("{}").starts_with("HTTP/1.1 200 "));
    CHECK(connection.receiveUntil("[]").starts_with("HTTP/1.1 200 "));
    connection.send(jsonPost("Expect: 100-continue\r\n" + length2, ""));
    CHECK(connection.receiveUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    connection.send("{}");
    CHECK(connection.receiveUntil("{}").starts_with("HTTP/1.1 200 "));
}
