#pragma once

#include "SimulatedProcess.h"

#include <array>
#include <deque>
#include <limits>

namespace Balsammill::Shards::Testing {

/// Origin of a submission: the entry that holds the request, and its number there.
struct SimulatedSubmitter {
    ProcessKey process;
    std::uint64_t number { 0 };

    auto operator<=>(const SimulatedSubmitter&) const = default;
};

struct SimulatedHandOver {
    struct Job {
        TransferredJob job;
        SimulatedSubmitter origin;
    };
    int shard { 0 };
    std::uint64_t epoch { 0 };
    std::vector<Job> jobs {};
    std::vector<UpstreamId> settledUpstreams {};
    Duration unreportedRunsExpireIn {};
};

struct HelloMessage { };
struct StatusMessage { };
/// Only returns the time of the last message.
struct EmptyMessage { };
struct SubmitMessage {
    std::uint64_t number { 0 };
    int shard { 0 };
    std::shared_ptr<const JobSpec> job;
};
struct AnswerMessage {
    std::uint64_t number { 0 };
    OwnerResult result { OwnerResult::Ended };
};
struct CancelMessage {
    std::uint64_t number { 0 };
};
struct MovedMessage {
    std::uint64_t number { 0 };
    int shard { 0 };
    int owner { 0 };
    std::uint64_t epoch { 0 };
};
struct ConfirmMessage {
    std::uint64_t number { 0 };
    int shard { 0 };
};
struct HandOverMessage {
    std::shared_ptr<const SimulatedHandOver> content;
};
/// The other end has closed the connection, or it broke.
struct EndOfLink { };

using PeerContent = std::variant<HelloMessage, StatusMessage, EmptyMessage, SubmitMessage, AnswerMessage, CancelMessage,
    MovedMessage, ConfirmMessage, HandOverMessage, EndOfLink>;

/// A connection between two processes; side 0 has opened it. Messages arrive in order, and are lost from the time at
/// which a direction goes silent.
struct SimulatedWire {
    struct Message {
        PeerContent content {};
        int sentAt { 0 };
        int echoedSentAt { 0 };
    };
    struct Direction {
        std::deque<std::pair<int, Message>> messages;
        int lastArrivalAt { 0 };
        int silentFrom { std::numeric_limits<int>::max() };
    };

    std::array<ProcessKey, 2> ends;
    /// By the side that receives.
    std::array<Direction, 2> toward;

    void send(SimulatedWorld&, int fromSide, Message);
};

/// One end of a connection, as PeerLink.
struct SimulatedLink {
    std::uint64_t id { 0 };
    std::shared_ptr<SimulatedWire> wire;
    int side { 0 };
    /// Known on the inbound end after the first message.
    ProcessKey peer;
    bool connected { false };
    bool closed { false };
    int lastReceivedAt { 0 };
    int confirmedAt { 0 };
    int peerSentAt { 0 };

    bool inbound() const { return side == 1; }
    void send(SimulatedProcess&, PeerContent);
    void receive(const SimulatedProcess&, const SimulatedWire::Message&);
    bool isExpired(const SimulatedProcess&) const;

    static constexpr int timeoutMs = 800;
};

} // namespace Balsammill::Shards::Testing
