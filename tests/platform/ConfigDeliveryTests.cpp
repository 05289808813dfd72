#include "FakeEntry.h"
#include "Fleet.h"

#include "balsammill/routing/ConfigSource.h"

#include <doctest/doctest.h>

#include <random>

using namespace PlatformTest;
using Balsammill::ConfigSource;
using Balsammill::ConfigVersion;
using IntegrationTest::in;
using IntegrationTest::waitUntil;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t newVersion = 2;
constexpr int unusedRoutes = 4'000;
constexpr std::size_t bytesPerConnection = 64 * 1024;
constexpr int connections = 30;

std::string route(const std::string& name)
{
    std::string text = R"({"name":")";
    text.append(name).append(R"(","host":"fleet.example","path_prefix":"/)").append(name);
    return text.append(R"(/","timeout_ms":5000,"target_duration_ms":2000,"priority":0,"service":"tanim",)")
        .append(R"("max_attempts":3,"stretch":4.0})");
}

// Random names compress badly, so that the document stays larger than a connection may transfer.
std::string largeConfiguration()
{
    std::mt19937_64 random(1);
    std::string document = R"({"version":)" + std::to_string(newVersion) + R"(,"services":[],"limits":{},"routes":[)";
    for (int i = 0; i < unusedRoutes; ++i)
        document.append(route(std::to_string(random()) + std::to_string(random()))).append(",");
    return document.append(route("added")).append("]}");
}

bool isInForce(const Fleet& fleet) { return fleet.request(0, "GET", "/added/", {}).status == 200; }

/// Answers a request for the configuration, in the form in which it was requested.
FakeEntry::Message answerTo(const balsammill::internal::ConfigRequest& request, ConfigSource& source)
{
    FakeEntry::Message message;
    auto& copy = *message.mutable_config_copy();
    copy.set_version(newVersion);
    if (!request.in_pieces()) {
        copy.set_document(source.document());
        return message;
    }
    const auto piece = source.piece({ .version = ConfigVersion(request.version()), .offset = request.offset() });
    REQUIRE(piece.has_value());
    copy.mutable_piece()->set_offset(piece->offset);
    copy.mutable_piece()->set_data(piece->bytes);
    copy.mutable_piece()->set_compressed_bytes(piece->compressedBytes);
    copy.mutable_piece()->set_document_bytes(piece->documentBytes);
    copy.mutable_piece()->set_checksum(piece->checksum);
    return message;
}

/// Reports the new version on a connection and answers requests for it until the connection ends.
void serveConfiguration(FakeEntryLink& link, ConfigSource& source)
{
    link.closeAfter(bytesPerConnection);
    std::size_t handled = 0;
    waitUntil(in(5s), [&] {
        FakeEntry::Message status;
        status.mutable_status()->set_config_version(newVersion);
        link.send(status);
        const auto received = link.received();
        for (; handled < received.size(); ++handled) {
            if (received[handled].has_config_request())
                link.send(answerTo(received[handled].config_request(), source));
        }
        return link.isClosed();
    });
}

} // namespace

// Guards against a configuration that an entry never receives from its peers, because no connection lasts until the
// whole document has been transferred.
TEST_CASE("A configuration larger than any connection carries reaches an entry from its peers [node]")
{
    Fleet fleet({ .name = "node-config-delivery", .entriesPerDomain = 1 });
    REQUIRE(fleet.waitUntilReady());
    REQUIRE_EQ(fleet.request(0, "GET", "/added/", {}).status, 404);
    ConfigSource source;
    source.setDocument(ConfigVersion(newVersion), largeConfiguration());
    FakeEntry peer("fake");
    for (int i = 0; i < connections && !isInForce(fleet); ++i)
        serveConfiguration(peer.connect(fleet.peerPort(0)), source);
    CHECK(isInForce(fleet));
}
