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
    /// Nothing is written.
    NotSent,
    /// The write takes effect but its answer is lost.
    AnswerLost,
    /// The write is lost together with its answer.
    RequestLost,
    /// The answer is lost and the write takes effect only in applyLateWrites().
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

/// Ledgers of one failure domain with a table and a message queue in memory, driven step by step.
class LedgerWorld {
public:
    struct Node {
        ProcessId id;
        std::unique_ptr<JobLedger> ledger;
        bool running { true };
        bool paused { false };
        bool leaving { false };
        /// Liveness of other VMs as this node sees it; absent means alive if it runs.
        std::map<std::string, Liveness> seen;
        std::deque<JobAction> tableRequests;
    };

    explicit LedgerWorld(std::size_t nodes, std::function<void(JobLedgerOptions&)> adjust = {});

    /// Lets time pass in steps of 50 ms; in each step everything that can be delivered is delivered.
    void run(Duration);
    /// Runs until the condition holds; false after the limit.
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
    /// A stopped VM returns with a new incarnation.
    void restart(std::size_t node);
    void publishViews();
    void pause(std::size_t node);
    void resume(std::size_t node);

    /// Waits until the shard has a primary and a backup.
    void settlePair();
    /// Cuts or restores the connection between two nodes, and with it their view of each other.
    void partition(std::size_t first, std::size_t second, bool cut);

    /// Node that is the confirmed primary of the (only) shard.
    std::optional<std::size_t> primary() const;
    std::optional<std::size_t> backup() const;
    std::size_t third() const;
    ShardRoleKind role(std::size_t node) const { return nodes[node].ledger->statuses().front().role; }
    ShardRecord tableRecord() const;
    std::size_t nodeOf(const ProcessId&) const;
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
    /// Messages for which this returns true are lost.
    std::function<bool(const SentMessage&)> dropped;
    /// Messages for which this returns true stay in the queue.
    std::function<bool(const SentMessage&)> held;
    bool autoComplete { true };
    LedgerTime time { TimePoint(std::chrono::hours(1)), 1'800'000'000'000 };
    /// Every record that the table held, in order.
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
