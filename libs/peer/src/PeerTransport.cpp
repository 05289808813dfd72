#include "balsammill/peer/PeerTransport.h"

#include "PeerLink.h"
#include "SenderRegistry.h"
#include "SocketClose.h"
#include "balsammill/base/Log.h"
#include "balsammill/peer/EnvelopeCodec.h"

#include <nng/protocol/pipeline0/pull.h>

#include <array>
#include <atomic>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace Balsammill {

namespace {

using balsammill::internal::PeerMessage;

constexpr auto dropLogInterval = std::chrono::seconds(5);
// nng closes a connection whose message exceeds its limit, without a count. With this margin a message slightly over
// the project's limit is received, counted and dropped.
constexpr std::size_t receiveMargin = 64 * 1024;
constexpr Duration listenerCloseLimit = std::chrono::seconds(1);
// nng cannot report when its queues are empty, so stop() leaves recent messages this time to get out.
constexpr Duration sendDrainTime = std::chrono::milliseconds(200);

enum class Drop {
    Malformed,
    Oversized,
    Version,
    Deployment,
    Receiver,
    Digest,
    Replayed,
    OldIncarnation,
};
constexpr std::size_t dropKinds = 8;

// Receivers check for the end of the transport this often. nng 1.5.2 can hang in nng_close if a thread enters
// nng_recvmsg at the same moment, so the socket is closed only after the receivers have ended.
constexpr nng_duration receiveTimeoutMs = 100;

struct DropKind {
    std::string_view text;
    std::atomic<std::uint64_t> count { 0 };
    LogLimiter limiter { dropLogInterval };
};

Drop dropOf(EnvelopeFault fault)
{
    switch (fault) {
    case EnvelopeFault::Malformed:
        return Drop::Malformed;
    case EnvelopeFault::Oversized:
        return Drop::Oversized;
    case EnvelopeFault::Version:
        return Drop::Version;
    case EnvelopeFault::Deployment:
        return Drop::Deployment;
    case EnvelopeFault::Receiver:
        return Drop::Receiver;
    case EnvelopeFault::Digest:
        return Drop::Digest;
    }
    return Drop::Malformed;
}

void require(int error, const std::string& action)
{
    if (error != 0)
        throw std::runtime_error(action + ": " + nng_strerror(error));
}

struct Peer {
    /// Shared by all links to the VM, so that numbers never repeat when a peer is removed and comes back.
    std::atomic<std::uint64_t> lastSequence { 0 };
    std::shared_ptr<Detail::PeerLink> link;
};

} // namespace

struct PeerTransport::Detail {
    explicit Detail(PeerTransportOptions initial)
        : options(std::move(initial))
        , codec({ .self = options.self,
              .deployment = options.deployment,
              .secret = options.secret,
              .maxMessageBytes = options.maxMessageBytes })
    {
        using enum EnvelopeFault;
        for (const auto fault : { Malformed, Oversized, Version, Deployment, Receiver, Digest })
            dropKind(dropOf(fault)).text = nameOf(fault);
        dropKind(Drop::Replayed).text = "replayed sequence number";
        dropKind(Drop::OldIncarnation).text = "earlier incarnation of the sender";
    }

    DropKind& dropKind(Drop drop) { return drops.at(static_cast<std::size_t>(drop)); }
    std::uint64_t dropCount(Drop drop) const { return drops.at(static_cast<std::size_t>(drop)).count.load(); }

    void listen();
    void receiveLoop();
    void receive(std::string_view bytes);
    void drop(Drop, const std::string& sender);
    void handle(const OpenedEnvelope&);
    bool refuseSend();

    PeerTransportOptions options;
    EnvelopeCodec codec;
    Balsammill::Detail::SenderRegistry senders;
    std::array<DropKind, dropKinds> drops;
    LogLimiter oversizedSendLimiter { dropLogInterval };
    LogLimiter handlerLimiter { dropLogInterval };

    std::atomic<std::uint64_t> sent { 0 };
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> notSent { 0 };
    std::atomic<TimePoint> lastSendAt { TimePoint {} };

    std::mutex peersMutex;
    std::map<VmName, std::shared_ptr<Peer>> peers;

    nng_socket listener NNG_SOCKET_INITIALIZER;
    std::uint16_t port { 0 };
    std::atomic<bool> running { false };
    std::vector<std::thread> receivers;
};

void PeerTransport::Detail::listen()
{
    require(nng_pull0_open(&listener), "cannot open the receiving peer socket");
    require(nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, options.maxMessageBytes + receiveMargin),
        "cannot limit the size of peer messages");
    require(nng_socket_set_ms(listener, NNG_OPT_RECVTIMEO, receiveTimeoutMs), "cannot set the receive time-out");
    const auto url = "tcp://" + options.listenAddress.value;
    nng_listener nngListener NNG_LISTENER_INITIALIZER;
    int boundPort = 0;
    try {
        require(nng_listen(listener, url.c_str(), &nngListener, 0), "cannot listen on " + url);
        require(
            nng_listener_get_int(nngListener, NNG_OPT_TCP_BOUND_PORT, &boundPort), "cannot read the port of " + url);
    } catch (...) {
        nng_close(listener);
        throw;
    }
    port = static_cast<std::uint16_t>(boundPort);
}

void PeerTransport::Detail::receiveLoop()
{
    while (running.load()) {
        nng_msg* message = nullptr;
        const int error = nng_recvmsg(listener, &message, 0);
        if (error == NNG_ETIMEDOUT)
            continue;
        if (error != 0) {
            logError(LogPart::Peer, std::string("Cannot receive: ") + nng_strerror(error));
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            continue;
        }
        receive({ static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message) });
        nng_msg_free(message);
    }
}

void PeerTransport::Detail::receive(std::string_view bytes)
{
    const auto opened = codec.open(bytes);
    if (const auto* fault = std::get_if<EnvelopeFault>(&opened)) {
        drop(dropOf(*fault), "a sender that is not authenticated");
        return;
    }
    const auto& envelope = std::get<OpenedEnvelope>(opened);
    switch (senders.accept(envelope.sender, envelope.sequence)) {
    case Balsammill::Detail::Freshness::Replayed:
        drop(Drop::Replayed, envelope.sender.vm.value);
        return;
    case Balsammill::Detail::Freshness::OldIncarnation:
        drop(Drop::OldIncarnation, envelope.sender.vm.value);
        return;
    case Balsammill::Detail::Freshness::Fresh:
        break;
    }
    ++received;
    receivedBytes += bytes.size();
    handle(envelope);
}

void PeerTransport::Detail::drop(Drop kind, const std::string& sender)
{
    auto& entry = dropKind(kind);
    const auto count = ++entry.count;
    if (entry.limiter.allow(monotonicNow())) {
        logWarning(LogPart::Peer,
            "Dropped a message from " + sender + ": " + std::string(entry.text) + " (" + std::to_string(count)
                + " so far).");
    }
}

void PeerTransport::Detail::handle(const OpenedEnvelope& envelope)
{
    try {
        options.handler(envelope.sender, envelope.message);
    } catch (const std::exception& error) {
        // The receiver thread serves all peers and has to survive a message that cannot be handled.
        if (handlerLimiter.allow(monotonicNow()))
            logError(LogPart::Peer, "Handling a message of " + envelope.sender.vm.value + " failed: " + error.what());
    }
}

bool PeerTransport::Detail::refuseSend()
{
    ++notSent;
    return false;
}

PeerTransport::PeerTransport(PeerTransportOptions options)
    : detail_(std::make_unique<Detail>(std::move(options)))
{
    if (!detail_->options.handler)
        throw std::invalid_argument("peer transport: expected a handler, got none");
    if (detail_->options.receiverThreads < 1)
        throw std::invalid_argument("peer transport: expected at least 1 receiver thread, got "
            + std::to_string(detail_->options.receiverThreads));
}

PeerTransport::~PeerTransport() { stop(); }

void PeerTransport::start()
{
    if (detail_->running)
        return;
    detail_->listen();
    detail_->running = true;
    for (int i = 0; i < detail_->options.receiverThreads; ++i)
        detail_->receivers.emplace_back([this] { detail_->receiveLoop(); });
}

std::uint16_t PeerTransport::port() const { return detail_->port; }

void PeerTransport::setPeers(const std::map<VmName, NetworkAddress>& addresses)
{
    // Closed after the lock is released, because closing a socket waits for its connections.
    std::vector<std::shared_ptr<Balsammill::Detail::PeerLink>> closing;
    std::lock_guard lock(detail_->peersMutex);
    for (auto& [vm, peer] : detail_->peers) {
        const auto wanted = addresses.find(vm);
        if (peer->link && (wanted == addresses.end() || wanted->second != peer->link->address()))
            closing.push_back(std::exchange(peer->link, nullptr));
    }
    for (const auto& [vm, address] : addresses) {
        if (vm == detail_->options.self.vm)
            continue;
        auto& peer = detail_->peers[vm];
        if (!peer)
            peer = std::make_shared<Peer>();
        if (!peer->link)
            peer->link = std::make_shared<Balsammill::Detail::PeerLink>(address);
    }
}

bool PeerTransport::send(const VmName& receiver, const PeerMessage& message)
{
    std::shared_ptr<Balsammill::Detail::PeerLink> link;
    std::uint64_t sequence = 0;
    {
        std::lock_guard lock(detail_->peersMutex);
        const auto peer = detail_->peers.find(receiver);
        if (peer == detail_->peers.end() || !peer->second->link)
            return detail_->refuseSend();
        link = peer->second->link;
        sequence = ++peer->second->lastSequence;
    }
    const auto bytes = detail_->codec.seal(receiver, sequence, message);
    if (!bytes && detail_->oversizedSendLimiter.allow(monotonicNow())) {
        logError(LogPart::Peer,
            "Cannot send " + std::to_string(message.ByteSizeLong()) + " bytes to " + receiver.value + ": limit is "
                + std::to_string(detail_->options.maxMessageBytes) + ".");
    }
    if (!bytes || !link->send(*bytes))
        return detail_->refuseSend();
    ++detail_->sent;
    detail_->sentBytes += bytes->size();
    detail_->lastSendAt.store(monotonicNow());
    return true;
}

PeerCounters PeerTransport::counters() const
{
    const auto& detail = *detail_;
    return { .sent = detail.sent.load(),
        .sentBytes = detail.sentBytes.load(),
        .received = detail.received.load(),
        .receivedBytes = detail.receivedBytes.load(),
        .notSent = detail.notSent.load(),
        .droppedMalformed = detail.dropCount(Drop::Malformed),
        .droppedDigest = detail.dropCount(Drop::Digest),
        .droppedDeployment = detail.dropCount(Drop::Deployment),
        .droppedVersion = detail.dropCount(Drop::Version),
        .droppedReplay = detail.dropCount(Drop::Replayed),
        .droppedOldIncarnation = detail.dropCount(Drop::OldIncarnation),
        .droppedOversized = detail.dropCount(Drop::Oversized),
        .droppedReceiver = detail.dropCount(Drop::Receiver) };
}

void PeerTransport::stop()
{
    if (detail_->running) {
        detail_->running = false;
        for (auto& receiver : detail_->receivers)
            receiver.join();
        Balsammill::Detail::closeSocket(detail_->listener, listenerCloseLimit);
        detail_->receivers.clear();
    }
    std::this_thread::sleep_until(detail_->lastSendAt.load() + sendDrainTime);
    setPeers({});
}

} // namespace Balsammill
