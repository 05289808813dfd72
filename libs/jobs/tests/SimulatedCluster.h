#pragma once

#include "balsammill/jobs/JobLedger.h"
#include "balsammill/membership/MemberView.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Balsammill::Test {

enum class TableFault {
    None,
    /// Requests are not sent, so nothing is written.
    NotSent,
    /// The write takes effect but the response is lost.
    AnswerLost,
    /// The write does not reach the table; the caller gets no response.
    RequestLost,
    /// The response is lost, and the write takes effect only in applyLateWrites().
    Late,
};

struct SentMessage {
    ProcessId from;
    ProcessId to;
    balsammill::internal::PeerMessage message;
};

struct Start {
    std::size_t node;
    std::string id;
};

/// Simulates the ledgers of one failure domain with an in-memory table and message queue. The test controls the clock
/// and all faults.
class SimulatedCluster {
public:
    struct Node {
        ProcessId id;
        std::unique_ptr<JobLedger> ledger;
        bool running { true };
        bool paused { false };
        bool leaving { false };
        /// Liveness of other VMs in the member view of this node. VMs without an override are alive unless stopped or
        /// paused.
        std::map<std::string, Liveness> livenessOverrides;
        std::deque<JobAction> tableRequests;
    };

    explicit SimulatedCluster(std::size_t nodes, std::function<void(JobLedgerOptions&)> adjust = {});

    /// Advances the clock in steps of 50 ms. Each step ticks all nodes and delivers all messages that are not held.
    void run(Duration);
    /// Runs until the condition holds. Returns false if it does not hold within the limit.
    bool runUntil(const std::function<bool()>&, Duration limit = std::chrono::seconds(20));
    void deliverAll();
    bool deliverOne(std::size_t position);
    void serveTable(std::size_t node);
    void applyLateWrites();
    void tickNode(std::size_t node);

    RequestId submit(std::size_t node, const std::string& id, const std::string& content = "x");
    RequestId get(std::size_t node, const std::string& id);
    RequestId cancel(std::size_t node, const std::string& id);
    void complete(std::size_t node, const std::string& id);

    void stop(std::size_t node);
    /// Starts the node again with a new incarnation and an empty ledger.
    void restart(std::size_t node);
    void publishViews();
    void pause(std::size_t node);
    void resume(std::size_t node);

    /// Runs until the shard has a primary and a backup and the startup grace period is over.
    void waitForPair();
    /// Cuts or restores the connection between two nodes, and marks each as dead or alive in the other's member view.
    void partition(std::size_t first, std::size_t second, bool cut);

    /// Running node that considers itself the confirmed primary of the only shard.
    std::optional<std::size_t> primary() const;
    std::optional<std::size_t> backup() const;
    /// In a domain of three nodes, the one that is neither primary nor backup.
    std::size_t third() const;
    ShardRoleKind role(std::size_t node) const { return nodes[node].ledger->statuses().front().role; }
    ShardRecord tableRecord() const;
    std::size_t nodeOf(const ProcessId&) const;
    /// Number of times that the job was started, on all nodes.
    std::size_t starts(const std::string& id) const;
    const JobAnswer* answer(RequestId) const;
    balsammill::v1::JobState state(RequestId) const;
    /// Error of the answer; fails the test if there is none.
    RpcErrorDetails error(RequestId) const;

    std::vector<Node> nodes;
    std::deque<SentMessage> messages;
    std::vector<Start> started;
    std::vector<std::pair<std::size_t, std::string>> canceled;
    std::map<RequestId, JobAnswer> answers;
    std::map<RequestId, ProcessId> redirects;
    TableFault fault { TableFault::None };
    /// Messages for which this returns true are dropped.
    std::function<bool(const SentMessage&)> dropped;
    /// Messages for which this returns true stay in the queue.
    std::function<bool(const SentMessage&)> held;
    /// True if started jobs complete as soon as their messages are delivered.
    bool autoComplete { true };
    ClockReadings time { TimePoint(std::chrono::hours(1)), 1'800'000'000'000 };
    /// All records that were written to the table, in order.
    std::vector<ShardRecord> history;

private:
    void apply(std::size_t node, JobActions);
    void serve(std::size_t node, const ReadRecord&);
    void serve(std::size_t node, const WriteRecord&);
    bool writeIfCurrent(const WriteRecord&);
    void create(std::size_t node);
    MemberView viewOf(std::size_t node) const;
    bool deliverable(const SentMessage&) const;
    bool isCut(const SentMessage&) const;

    std::function<void(JobLedgerOptions&)> adjust_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    struct Stored {
        ShardRecord record;
        std::string tag;
    };
    std::map<std::uint32_t, Stored> table_;
    std::vector<WriteRecord> lateWrites_;
    std::uint64_t nextTag_ { 1 };
    std::uint64_t nextWaiter_ { 1 };
    std::vector<std::pair<std::size_t, std::string>> toComplete_;
};

JobKey testKey(const std::string& id);

} // namespace Balsammill::Test
