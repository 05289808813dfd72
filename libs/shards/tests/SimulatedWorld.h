#pragma once

#include "SimulatedRunHistory.h"
#include "SimulatedUpstream.h"

#include "balsammill/shards/JobState.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Balsammill::Shards::Testing {

/// One run of a process at a place (a VM); place -1 is none.
struct ProcessKey {
    int place { -1 };
    int incarnation { 0 };

    auto operator<=>(const ProcessKey&) const = default;
    bool empty() const { return place < 0; }
};

/// Ownership record of a shard in the store.
struct ShardRecord {
    std::uint64_t epoch { 0 };
    ProcessKey owner;
    ProcessKey handedOverBy;
};

/// Journal of a shard in the store.
struct SimulatedJournal {
    struct Job {
        std::shared_ptr<const JobSpec> spec;
        std::optional<JobStateRecord> state;
    };
    /// Each write raises it, as the version of the fence row.
    std::uint64_t version { 0 };
    std::uint64_t epoch { 0 };
    RunNumber lastReservedRun {};
    std::map<JobId, Job> jobs;
};

/// Which rules of the confirmation protocol are in force.
enum class Confirmation {
    Off,
    /// Owners close connections by their confirmation, but the engine knows no origins and no lease limit.
    OfConnectionsOnly,
    On,
};

enum class OwnerResult {
    Ended,
    Refused,
    InDoubt,
    NotOwner,
};

struct StartRequest {
    StartTask start;
    std::int64_t deadline { 0 };
};
struct StopRequest {
    StopTask stop;
};
struct ReportRequest {
    std::optional<std::int64_t> deadline;
    std::uint64_t lastSeen { 0 };
    int waitMs { 0 };
};
using UpstreamRequest = std::variant<StartRequest, StopRequest, ReportRequest>;

struct UpstreamResponse {
    std::int64_t clock { 0 };
    bool fenced { false };
    bool hadNoEffect { false };
    std::optional<StartRefusal> refusal;
    UpstreamReport report;
};

/// What has arrived at a process and waits until it runs, with the time of arrival.
struct ProcessInbox {
    std::vector<std::pair<int, std::function<void()>>> waiting;
};

/// What exists outside of the entries: time, the upstreams and the records in the store. Times are in milliseconds.
class SimulatedWorld {
public:
    static constexpr int upstreamCount = 4;
    static constexpr int upstreamsPerShard = 2;
    static constexpr int shardCount = upstreamCount / upstreamsPerShard;
    static constexpr int stopGraceMs = 50;
    static constexpr int maxLeaseMs = 1'000;

    explicit SimulatedWorld(unsigned seed);

    bool oneIn(unsigned n) { return random() % n == 0; }
    /// A random number from low to high.
    int between(int low, int high) { return low + static_cast<int>(random() % static_cast<unsigned>(high - low + 1)); }
    /// Carries out the calls that arrive now, the stops that take effect and the ends of runs.
    void advanceUpstreams();
    /// Sends a call to an upstream. It may be lost or carried out late, and so may its response.
    void call(int upstream, std::uint64_t fence, const UpstreamRequest&, const std::weak_ptr<ProcessInbox>& answerTo,
        const std::function<void(const UpstreamResponse&)>& done);
    /// Sends a call to the store.
    void callStore(std::function<void()> execute) { events_.push_back({ now + storeDelay(), std::move(execute) }); }
    /// Time that a call to the store or its answer takes.
    int storeDelay() { return oneIn(20) ? between(20, 300) : between(1, 10); }
    bool isStoreAway() const { return now < storeAwayUntil; }
    /// Runs that end on this upstream before then have failed.
    void failRunsUntil(int upstream, int until) { hosts_[static_cast<std::size_t>(upstream)].failingUntil = until; }
    /// No call reaches this upstream until then.
    void cutUntil(int upstream, int until) { hosts_[static_cast<std::size_t>(upstream)].cutUntil = until; }
    static UpstreamId upstreamId(int upstream) { return UpstreamId("u" + std::to_string(upstream)); }
    static int upstreamIndex(const UpstreamId& id) { return std::stoi(id.value.substr(1)); }
    void trace(const JobId& job, const std::string& text);
    /// Events of the job that the violation names, and of the processes.
    std::string traceOfViolation() const;
    /// An owner starts a durable task.
    void noteDurableStart(const StartTask&);
    void setMaxListedEnds(std::size_t);

    std::mt19937 random;
    int now { 0 };
    Confirmation confirmation { Confirmation::On };
    /// The clock of a process does not count the time for which it stands still.
    bool clocksStand { false };
    /// Owners raise their fencing token when a grant gets no answer, and grant nothing more until a request is
    /// answered.
    bool limitsLateGrants { true };
    /// The shards have durable jobs. Calls to upstreams are then not late: no lease is granted after the end of an
    /// owner.
    bool durableJobs { false };
    /// Owners keep their run numbers apart by reservations.
    bool reservesRunNumbers { true };
    int storeAwayUntil { 0 };
    std::map<int, ShardRecord> records;
    std::map<int, SimulatedJournal> journals;
    SimulatedRunHistory history;
    std::string violation;
    std::uint64_t runsStarted { 0 };
    std::uint64_t runsStopped { 0 };
    std::uint64_t runsLapsed { 0 };
    std::uint64_t confirmedAfterHandOver { 0 };
    /// Events of each job, if they are wanted.
    bool traced { false };
    std::map<JobId, std::string> traces;

private:
    struct Host {
        SimulatedUpstream state;
        double clockRate { 1.0 };
        /// Calls are lost or late more often until then.
        int disturbedUntil { 0 };
        int failingUntil { 0 };
        int cutUntil { 0 };
    };
    struct Event {
        int at { 0 };
        std::function<void()> run;
    };

    std::int64_t clockOf(const Host&) const;
    static bool isRunning(const Host&, const SimulatedUpstream::Running&);
    static bool areOfOneGang(const SimulatedUpstream::Running&, const SimulatedUpstream::Running&);
    /// How a run ends that has reached its end without a fault.
    RunEnd endOfCompleteRun(const SimulatedUpstream::Running&) const;
    /// Ends the other members of a gang after the end of one.
    void endGang(const SimulatedUpstream::Running& member, RunEnd);
    UpstreamResponse execute(int upstream, std::uint64_t fence, const StartRequest&);
    UpstreamResponse execute(int upstream, std::uint64_t fence, const StopRequest&);
    UpstreamResponse execute(int upstream, std::uint64_t fence, const ReportRequest&);
    UpstreamResponse responseOf(const Host&) const;
    void extendLease(Host&, std::int64_t deadline) const;
    void checkStart(int upstream, const StartTask&);

    std::vector<Host> hosts_;
    std::vector<Event> events_;
};

} // namespace Balsammill::Shards::Testing
