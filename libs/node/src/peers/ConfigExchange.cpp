#include "ConfigExchange.h"

#include "balsammill/internal/shard.pb.h"
#include "platform/Documents.h"
#include "platform/Json.h"

#include <utility>
#include <variant>

namespace Balsammill {

namespace {

template <class... Visitors> struct Overloaded : Visitors... {
    using Visitors::operator()...;
};
template <class... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

constexpr auto fromStore = "store";
constexpr auto fromPeer = "peer";

} // namespace

ConfigExchange::ConfigExchange(NodeContext& context, AdoptedHandler adopted)
    : context_(context)
    , adopted_(std::move(adopted))
{
}

void ConfigExchange::handleStored(const std::string& document)
{
    // A reload of the table delivers the current document again.
    if (document != source_.document())
        adopt(document, fromStore);
}

void ConfigExchange::adopt(const std::string& document, const char* source)
{
    try {
        auto config = Platform::parseConfiguration(document);
        if (queues_ && config.version <= version())
            return;
        queues_ = std::make_shared<const QueueTable>(std::move(config));
        source_.setDocument(version(), document);
        fetch_.setAdopted(version());
        adopted_(queues_);
        context_.log.event("config.adopted",
            { { "version", version().value }, { "source", source },
                { "queues", std::uint64_t { queues_->config().queues.size() } },
                { "bytes", std::uint64_t { document.size() } } });
    } catch (const Platform::FormatError& error) {
        context_.log.event("config.rejected", { { "source", source }, { "reason", error.what() } });
    }
}

void ConfigExchange::handleVersion(PeerLink& from, ConfigVersion reported)
{
    if (const auto request = fetch_.handleVersion(reported, monotonicNow()))
        sendRequest(from, *request);
}

void ConfigExchange::sendRequest(PeerLink& to, const ConfigPieceRequest& request)
{
    requestedOn_ = to.id();
    context_.metrics.add("balsammill_config_requests_total");
    if (request.offset == 0)
        context_.log.event(
            "config.requested", { { "peer", to.peer().vm.value }, { "version", request.version.value } });
    balsammill::internal::ShardPeerMessage message;
    auto* out = message.mutable_config_request();
    out->set_in_pieces(true);
    out->set_version(request.version.value);
    out->set_offset(request.offset);
    to.send(message);
}

void ConfigExchange::handleRequest(PeerLink& from, const balsammill::internal::ConfigRequest& request)
{
    if (!queues_)
        return;
    balsammill::internal::ShardPeerMessage message;
    auto& copy = *message.mutable_config_copy();
    if (request.in_pieces()) {
        const auto piece = source_.piece({ .version = ConfigVersion(request.version()), .offset = request.offset() });
        if (!piece)
            return;
        copy.set_version(piece->version.value);
        auto* out = copy.mutable_piece();
        out->set_offset(piece->offset);
        out->set_data(piece->bytes);
        out->set_compressed_bytes(piece->compressedBytes);
        out->set_document_bytes(piece->documentBytes);
        out->set_checksum(piece->checksum);
    } else {
        copy.set_version(version().value);
        copy.set_document(source_.document());
    }
    const auto bytes = copy.ByteSizeLong();
    if (copy.piece().offset() == 0)
        context_.log.event("config.sent",
            { { "peer", from.peer().vm.value }, { "version", copy.version() }, { "bytes", std::uint64_t { bytes } } });
    context_.metrics.add("balsammill_config_sent_bytes_total", {}, bytes);
    from.send(message);
}

void ConfigExchange::handleCopy(PeerLink& from, const balsammill::internal::ConfigCopy& copy)
{
    if (copy.has_piece())
        handlePiece(from, copy);
    else if (ConfigVersion(copy.version()) > version())
        adopt(copy.document(), fromPeer);
}

void ConfigExchange::handlePiece(PeerLink& from, const balsammill::internal::ConfigCopy& copy)
{
    const auto& piece = copy.piece();
    const auto result = fetch_.handlePiece({ .version = ConfigVersion(copy.version()),
                                               .offset = piece.offset(),
                                               .bytes = piece.data(),
                                               .compressedBytes = piece.compressed_bytes(),
                                               .documentBytes = piece.document_bytes(),
                                               .checksum = piece.checksum() },
        monotonicNow());
    std::visit(Overloaded {
                   [](std::monostate) {},
                   [&](const ConfigPieceRequest& next) { sendRequest(from, next); },
                   [&](const FetchedConfig& fetched) { adopt(fetched.document, fromPeer); },
                   [&](const BadConfigTransfer& bad) {
                       context_.log.event("config.rejected", { { "source", fromPeer }, { "reason", bad.reason } });
                   },
               },
        result);
}

void ConfigExchange::handlePeerClosed(const PeerLink& link)
{
    if (link.id() == requestedOn_)
        fetch_.handleRequestLost();
}

} // namespace Balsammill
