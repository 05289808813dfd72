#include "balsammill/routing/ConfigFetch.h"
#include "balsammill/routing/ConfigSource.h"

#include <doctest/doctest.h>

#include <random>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

constexpr ConfigVersion oldVersion { 3 };
constexpr ConfigVersion newVersion { 8 };
constexpr ConfigVersion newestVersion { 9 };
const TimePoint start { 1'000s };

// Random text compresses badly, so that its transfer takes several pieces.
std::string randomText(std::size_t size, unsigned seed)
{
    std::mt19937 random(seed);
    std::string text;
    while (text.size() < size)
        text.push_back(static_cast<char>('!' + random() % 90));
    return text;
}

const std::string text = randomText(200'000, 1);
const std::string newestText = randomText(200'000, 2);

/// An entry with the old version, some time after it has learned of the new one.
struct Receiver {
    ConfigFetch fetch;
    TimePoint now { start };

    Receiver()
    {
        fetch.setAdopted(oldVersion);
        CHECK_FALSE(fetch.handleVersion(newVersion, now).has_value());
        now += ConfigFetch::storeDelay;
    }
};

ConfigSource sourceOf(ConfigVersion version, const std::string& document)
{
    ConfigSource source;
    source.setDocument(version, document);
    return source;
}

} // namespace

TEST_CASE("A configuration arrives in pieces, of which one is requested at a time")
{
    auto source = sourceOf(newVersion, text);
    Receiver receiver;
    auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    int pieces = 0;
    while (request) {
        CHECK_FALSE(receiver.fetch.handleVersion(newVersion, receiver.now).has_value());
        const auto piece = source.piece(*request);
        REQUIRE(piece.has_value());
        CHECK_LE(piece->bytes.size(), ConfigSource::maxPieceBytes);
        ++pieces;
        const auto result = receiver.fetch.handlePiece(*piece, receiver.now);
        request.reset();
        if (const auto* next = std::get_if<ConfigPieceRequest>(&result)) {
            request = *next;
            continue;
        }
        REQUIRE(std::holds_alternative<FetchedConfig>(result));
        CHECK_EQ(std::get<FetchedConfig>(result).version, newVersion);
        CHECK((std::get<FetchedConfig>(result).document == text));
    }
    CHECK_GT(pieces, 3);
    receiver.fetch.setAdopted(newVersion);
    CHECK_FALSE(receiver.fetch.handleVersion(newVersion, receiver.now + 10s).has_value());
}

// Guards against a transfer that never completes because it starts again from the beginning with each connection.
TEST_CASE("A transfer goes on with another peer after the connection to the first one has ended")
{
    auto first = sourceOf(newVersion, text);
    auto second = sourceOf(newVersion, text);
    Receiver receiver;
    const auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(request.has_value());
    const auto afterFirst = receiver.fetch.handlePiece(*first.piece(*request), receiver.now);
    REQUIRE(std::holds_alternative<ConfigPieceRequest>(afterFirst));
    receiver.fetch.handleRequestLost();
    const auto next = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(next.has_value());
    CHECK_EQ(next->version, newVersion);
    CHECK_EQ(next->offset, ConfigSource::maxPieceBytes);
    CHECK_EQ(second.piece(*next)->offset, ConfigSource::maxPieceBytes);
}

TEST_CASE("A request without an answer is repeated after the timeout, and a piece that arrives twice is ignored")
{
    auto source = sourceOf(newVersion, text);
    Receiver receiver;
    const auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(request.has_value());
    CHECK_FALSE(receiver.fetch.handleVersion(newVersion, receiver.now + ConfigFetch::answerTimeout - 1ms).has_value());
    receiver.now += ConfigFetch::answerTimeout;
    CHECK_EQ(receiver.fetch.handleVersion(newVersion, receiver.now), request);
    const auto piece = *source.piece(*request);
    CHECK(std::holds_alternative<ConfigPieceRequest>(receiver.fetch.handlePiece(piece, receiver.now)));
    CHECK(std::holds_alternative<std::monostate>(receiver.fetch.handlePiece(piece, receiver.now)));
}

TEST_CASE("A transfer is completed while peers already have a newer configuration")
{
    auto source = sourceOf(newVersion, text);
    Receiver receiver;
    auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(request.has_value());
    request = std::get<ConfigPieceRequest>(receiver.fetch.handlePiece(*source.piece(*request), receiver.now));
    source.setDocument(newestVersion, newestText);
    ConfigFetchResult result = *request;
    while (const auto* next = std::get_if<ConfigPieceRequest>(&result))
        result = receiver.fetch.handlePiece(*source.piece(*next), receiver.now);
    REQUIRE(std::holds_alternative<FetchedConfig>(result));
    CHECK_EQ(std::get<FetchedConfig>(result).version, newVersion);
}

TEST_CASE("A transfer whose version no peer has any more is replaced by a newer one")
{
    auto source = sourceOf(newVersion, text);
    auto newest = sourceOf(newestVersion, newestText);
    Receiver receiver;
    const auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(request.has_value());
    REQUIRE(
        std::holds_alternative<ConfigPieceRequest>(receiver.fetch.handlePiece(*source.piece(*request), receiver.now)));
    receiver.fetch.handleRequestLost();
    const auto next = receiver.fetch.handleVersion(newestVersion, receiver.now);
    REQUIRE(next.has_value());
    ConfigFetchResult result = *next;
    while (const auto* wanted = std::get_if<ConfigPieceRequest>(&result))
        result = receiver.fetch.handlePiece(*newest.piece(*wanted), receiver.now);
    REQUIRE(std::holds_alternative<FetchedConfig>(result));
    CHECK_EQ(std::get<FetchedConfig>(result).version, newestVersion);
    CHECK((std::get<FetchedConfig>(result).document == newestText));
}

TEST_CASE("A transfer without progress does not keep an older version from being requested")
{
    auto source = sourceOf(newestVersion, newestText);
    Receiver receiver;
    const auto request = receiver.fetch.handleVersion(newestVersion, receiver.now);
    REQUIRE(request.has_value());
    REQUIRE(
        std::holds_alternative<ConfigPieceRequest>(receiver.fetch.handlePiece(*source.piece(*request), receiver.now)));
    receiver.fetch.handleRequestLost();
    CHECK_FALSE(receiver.fetch.handleVersion(newVersion, receiver.now).has_value());
    receiver.now += ConfigFetch::progressTimeout;
    CHECK_EQ(receiver.fetch.handleVersion(newVersion, receiver.now),
        ConfigPieceRequest { .version = newVersion, .offset = 0 });
}

TEST_CASE("Pieces that do not form a document are rejected, and the transfer begins again")
{
    auto source = sourceOf(newVersion, text);
    Receiver receiver;
    const auto request = receiver.fetch.handleVersion(newVersion, receiver.now);
    REQUIRE(request.has_value());
    SUBCASE("An altered byte")
    {
        ConfigFetchResult result = *request;
        while (const auto* next = std::get_if<ConfigPieceRequest>(&result)) {
            auto piece = *source.piece(*next);
            piece.bytes.front() = static_cast<char>(piece.bytes.front() ^ 1);
            result = receiver.fetch.handlePiece(piece, receiver.now);
        }
        CHECK(std::holds_alternative<BadConfigTransfer>(result));
    }
    SUBCASE("An empty piece")
    {
        auto piece = *source.piece(*request);
        piece.bytes.clear();
        CHECK(std::holds_alternative<BadConfigTransfer>(receiver.fetch.handlePiece(piece, receiver.now)));
    }
    SUBCASE("More bytes than announced")
    {
        auto piece = *source.piece(*request);
        piece.compressedBytes = piece.bytes.size() - 1;
        CHECK(std::holds_alternative<BadConfigTransfer>(receiver.fetch.handlePiece(piece, receiver.now)));
    }
    SUBCASE("A document above the limit")
    {
        auto piece = *source.piece(*request);
        piece.documentBytes = maxConfigDocumentBytes + 1;
        CHECK(std::holds_alternative<BadConfigTransfer>(receiver.fetch.handlePiece(piece, receiver.now)));
    }
    receiver.now += ConfigFetch::answerTimeout;
    CHECK_EQ(receiver.fetch.handleVersion(newVersion, receiver.now), request);
}

TEST_CASE("A version that is not newer is not requested, and its pieces are ignored")
{
    auto source = sourceOf(oldVersion, text);
    Receiver receiver;
    CHECK_FALSE(receiver.fetch.handleVersion(oldVersion, receiver.now).has_value());
    CHECK(std::holds_alternative<std::monostate>(
        receiver.fetch.handlePiece(*source.piece({ .version = oldVersion }), receiver.now)));
}

TEST_CASE("A source without the requested piece sends the beginning of its current document")
{
    ConfigSource source;
    CHECK_FALSE(source.piece({ .version = newVersion }).has_value());
    source.setDocument(newVersion, text);
    const auto piece = source.piece({ .version = oldVersion, .offset = 5 });
    REQUIRE(piece.has_value());
    CHECK_EQ(piece->version, newVersion);
    CHECK_EQ(piece->offset, 0);
    CHECK_EQ(source.piece({ .version = newVersion, .offset = piece->compressedBytes })->offset, 0);
}
