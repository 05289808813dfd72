#pragma once

#include "balsammill/internal/shard.pb.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace PlatformTest {

/// A connection of a FakeEntry with an entry. It says hello and sends heartbeats every 100 ms, and records what
/// arrives without acting on it.
class FakeEntryLink {
public:
    using Message = balsammill::internal::ShardPeerMessage;

    FakeEntryLink(const std::string& vm, std::uint64_t incarnation, const Poco::Net::StreamSocket&);
    ~FakeEntryLink();
    FakeEntryLink(const FakeEntryLink&) = delete;
    FakeEntryLink& operator=(const FakeEntryLink&) = delete;

    /// Does nothing once the connection is closed.
    void send(Message);
    /// Keeps the connection open and sends nothing more by itself.
    void stopHeartbeats() { heartbeats_ = false; }
    /// Keeps the connection open and sends heartbeats, but reads nothing more.
    void stopReading() { reading_ = false; }
    /// Closes the connection once this many bytes have been sent on it in total; a message may end halfway.
    void closeAfter(std::size_t bytes);
    void close();
    /// True if this or the other process has closed the connection.
    bool isClosed() const { return closed_; }
    std::vector<Message> received() const;
    std::optional<balsammill::internal::ShardJobAnswer> answerTo(std::uint64_t submission) const;
    /// Number of notices that the submission was handed over.
    std::size_t movedNotices(std::uint64_t submission) const;

private:
    void run();
    void receive();

    mutable std::mutex mutex_;
    Poco::Net::StreamSocket socket_;
    std::string input_;
    std::size_t sentBytes_ { 0 };
    std::optional<std::size_t> maxSentBytes_;
    std::vector<Message> received_;
    std::uint64_t peerSentAtMs_ { 0 };
    std::chrono::steady_clock::time_point nextHeartbeatAt_;
    std::atomic<bool> heartbeats_ { true };
    std::atomic<bool> reading_ { true };
    std::atomic<bool> stopping_ { false };
    std::atomic<bool> closed_ { false };
    std::thread thread_;
};

} // namespace PlatformTest
