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
// nng closes a connection without a report if a message exceeds NNG_OPT_RECVMAXSZ. With this margin, a message slightly
// over maxMessageBytes is received, counted and dropped instead.
constexpr std::size_t receiveMarginBytes = 64 * 1024;
constexpr Duration listenerCloseTimeout = std::chrono::seconds(1);
// nng cannot report when its send queues are empty, so stop() waits this long after the last send for transmission.
constexpr Duration sendDrainTime = std::chrono::milliseconds(200);

enum class DropReason {
    Malformed,
    Oversized,
    UnsupportedVersion,
    WrongDeployment,
    WrongReceiver,
    InvalidDigest,
    Replayed,
    OldIncarnation,
};
constexpr std::size_t dropReasonCount = 8;

// Interval at which receiver threads check whether the transport is stopping. nng 1.5.2 can hang in nng_close if a
// thread enters nng_recvmsg at the same moment, so the socket is closed only after the receiver threads have exited.
constexpr nng_duration receiveTimeoutMs = 100;

struct DropCounter {
    std::string_view text;
    std::atomic<std::uint64_t> count { 0 };
    LogLimiter limiter { dropLogInterval };
};

DropReason dropReasonOf(EnvelopeFault fault)
{
    switch (fault) {
    case EnvelopeFault::Malformed:
        return DropReason::Malformed;
    case EnvelopeFault::Oversized:
        return DropReason::Oversized;
    case EnvelopeFault::UnsupportedVersion:
        return DropReason::UnsupportedVersion;
    case EnvelopeFault::WrongDeployment:
        return DropReason::WrongDeployment;
    case EnvelopeFault::WrongReceiver:
        return DropReason::WrongReceiver;
    case EnvelopeFault::InvalidDigest:
        return DropReason::InvalidDigest;
    }
    return DropReason::Malformed;
}

void throwOnError(int error, const std::string& action)
{
    if (error != 0)
        throw std::runtime_error(action + ": " + nng_strerror(error));
}

struct Peer {
    /// Shared by all links to the VM, so that sequence numbers do not repeat when a peer is removed and added again.
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
        for (const auto fault :
            { Malformed, Oversized, UnsupportedVersion, WrongDeployment, WrongReceiver, InvalidDigest })
            dropCounter(dropReasonOf(fault)).text = nameOf(fault);
        dropCounter(DropReason::Replayed).text = "replayed sequence number";
        dropCounter(DropReason::OldIncarnation).text = "stale incarnation of the sender";
    }

    DropCounter& dropCounter(DropReason drop) { return dropCounters.at(static_cast<std::size_t>(drop)); }
    std::uint64_t dropCount(DropReason drop) const
    {
        return dropCounters.at(static_cast<std::size_t>(drop)).count.load();
    }

    void listen();
    void receiveLoop();
    void receive(std::string_view bytes);
    void drop(DropReason, const std::string& sender);
    void handle(const OpenedEnvelope&);
    bool rejectSend();

    PeerTransportOptions options;
    EnvelopeCodec codec;
    Balsammill::Detail::SenderRegistry senders;
    std::array<DropCounter, dropReasonCount> dropCounters;
    LogLimiter oversizedSendLimiter { dropLogInterval };
    LogLimiter handlerErrorLimiter { dropLogInterval };

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
    throwOnError(nng_pull0_open(&listener), "cannot open the receiving peer socket");
    throwOnError(nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, options.maxMessageBytes + receiveMarginBytes),
        "cannot set the size limit of peer messages");
    throwOnError(nng_socket_set_ms(listener, NNG_OPT_RECVTIMEO, receiveTimeoutMs),
        "cannot set the receive timeout of the peer socket");
    const auto url = "tcp://" + options.listenAddress.value;
    nng_listener nngListener NNG_LISTENER_INITIALIZER;
    int boundPort = 0;
    try {
        throwOnError(nng_listen(listener, url.c_str(), &nngListener, 0), "cannot listen on " + url);
        throwOnError(
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
            logError(LogComponent::Peer, std::string("Cannot receive peer messages: ") + nng_strerror(error));
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
        drop(dropReasonOf(*fault), "an unauthenticated sender");
        return;
    }
    const auto& envelope = std::get<OpenedEnvelope>(opened);
    switch (senders.accept(envelope.sender, envelope.sequence)) {
    case Balsammill::Detail::Freshness::Replayed:
        drop(DropReason::Replayed, envelope.sender.vm.value);
        return;
    case Balsammill::Detail::Freshness::OldIncarnation:
        drop(DropReason::OldIncarnation, envelope.sender.vm.value);
        return;
    case Balsammill::Detail::Freshness::Fresh:
        break;
    }
    ++received;
    receivedBytes += bytes.size();
    handle(envelope);
}

void PeerTransport::Detail::drop(DropReason reason, const std::string& sender)
{
    auto& entry = dropCounter(reason);
    const auto count = ++entry.count;
    if (entry.limiter.allow(monotonicNow())) {
        logWarning(LogComponent::Peer,
            "Dropped a message from " + sender + ": " + std::string(entry.text) + " (" + std::to_string(count)
                + " so far).");
    }
}

void PeerTransport::Detail::handle(const OpenedEnvelope& envelope)
{
    try {
        options.handler(envelope.sender, envelope.message);
    } catch (const std::exception& error) {
        // An exception must not end the receiver thread, because it serves all peers.
        if (handlerErrorLimiter.allow(monotonicNow()))
            logError(LogComponent::Peer,
                "Handler failed on a message from " + envelope.sender.vm.value + ": " + error.what());
    }
}

bool PeerTransport::Detail::rejectSend()
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
    // Declared before the lock, so that the links are closed after its release: closing a socket blocks.
    std::vector<std::shared_ptr<Balsammill::Detail::PeerLink>> removedLinks;
    std::lock_guard lock(detail_->peersMutex);
    for (auto& [vm, peer] : detail_->peers) {
        const auto configured = addresses.find(vm);
        if (peer->link && (configured == addresses.end() || configured->second != peer->link->address()))
            removedLinks.push_back(std::exchange(peer->link, nullptr));
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
            return detail_->rejectSend();
        link = peer->second->link;
        sequence = ++peer->second->lastSequence;
    }
    const auto bytes = detail_->codec.seal(receiver, sequence, message);
    if (!bytes && detail_->oversizedSendLimiter.allow(monotonicNow())) {
        logError(LogComponent::Peer,
            "Cannot send " + std::to_string(message.ByteSizeLong()) + " bytes to " + receiver.value
                + ": the message size limit is " + std::to_string(detail_->options.maxMessageBytes) + ".");
    }
    if (!bytes || !link->send(*bytes))
        return detail_->rejectSend();
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
        .droppedMalformed = detail.dropCount(DropReason::Malformed),
        .droppedDigest = detail.dropCount(DropReason::InvalidDigest),
        .droppedDeployment = detail.dropCount(DropReason::WrongDeployment),
        .droppedVersion = detail.dropCount(DropReason::UnsupportedVersion),
        .droppedReplay = detail.dropCount(DropReason::Replayed),
        .droppedOldIncarnation = detail.dropCount(DropReason::OldIncarnation),
        .droppedOversized = detail.dropCount(DropReason::Oversized),
        .droppedReceiver = detail.dropCount(DropReason::WrongReceiver) };
}

void PeerTransport::stop()
{
    if (detail_->running) {
        detail_->running = false;
        for (auto& receiver : detail_->receivers)
            receiver.join();
        Balsammill::Detail::closeSocket(detail_->listener, listenerCloseTimeout);
        detail_->receivers.clear();
    }
    std::this_thread::sleep_until(detail_->lastSendAt.load() + sendDrainTime);
    setPeers({});
}

} // namespace Balsammill
