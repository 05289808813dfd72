#pragma once

#include "balsammill/shards/LeaseTimes.h"
#include "balsammill/shards/ShardEngine.h"

#include <algorithm>

namespace Balsammill::Shards {

// Tasks rarely fail on a healthy upstream, and almost never two in a row.
inline constexpr std::uint32_t failuresBeforeSuspicion = 2;

// A run that takes longer than expected by this, and by this share, may have ended without the owner's knowledge. Run
// times within a step vary by about 15 %.
inline constexpr Duration lateEndMargin = std::chrono::milliseconds(40);
inline constexpr int lateEndDivisor = 4;

enum class RunState {
    /// The start was sent and has not been answered.
    StartSent,
    Running,
    Stopping,
};

struct ShardEngine::Run {
    RunNumber number {};
    // Job that needs the run; empty if the run is not needed or is being cancelled.
    OccurrenceKey job {};
    UpstreamId upstream {};
    // Origin of the job; kept when the run is not needed any more.
    OriginId origin {};
    // Latest permitted end of a run whose origin is lost or has cancelled it; unset while the origin determines it.
    std::optional<TimePoint> endBy {};
    // Adopted for an inherited submission that its origin has not confirmed yet.
    bool awaitsConfirmation { false };
    Resources need {};
    // Kind of the task, if it is tracked, and the kinds that have run beside it.
    std::optional<TaskKind> kind {};
    TaskKinds beside { 0 };
    // Ends only when its job is cancelled.
    bool longRunning { false };
    // Started by an earlier owner; the capacity that it uses is unknown.
    bool startedByEarlierOwner { false };
    // Adopted without its start time, so its run time is not passed to the run time model.
    bool startUnknown { false };
    // Started while the upstream was cold, so its run time says nothing about the upstream's usual speed.
    bool startedCold { false };
    // A report of the upstream's current incarnation has listed the run.
    bool listed { false };
    RunState state { RunState::StartSent };
    TimePoint startSentAt {};
    // When the start was confirmed by the upstream; unset before.
    TimePoint confirmedAt {};
    TimePoint expectedEnd {};
    // A report is needed if none that was requested after this time has listed the run.
    TimePoint checkAt { TimePoint::max() };
    // When the last report that listed the run as running was requested.
    TimePoint listedAt {};
    TimePoint stopSentAt {};
    // First report that did not list the run while it is being stopped; unset while reports list it.
    TimePoint unlistedSince {};
};

// An end that was handled but is not in the store yet.
struct UnrecordedEnd {
    std::uint64_t sequence { 0 };
    OccurrenceKey job {};
    ProgressMark mark {};
    // Every lease granted before has ended since, so that another owner may start the task again.
    bool leaseLapsed { false };
};

struct ShardEngine::Upstream {
    UpstreamInfo info;
    Resources freeCapacity;
    std::map<TaskKey, Run> runs;
    // Number of runs of earlier owners; the free capacity is unknown while there are any.
    std::uint32_t earlierOwnerRuns { 0 };
    std::uint64_t lastEndHandled { 0 };
    // The last report listed only some of the ends.
    bool hasUnlistedEnds { false };
    // Start time (Unix milliseconds) of the incarnation whose registration is in info; 0 if it stated none.
    std::int64_t registeredStartedUnixMs { 0 };
    std::vector<UnrecordedEnd> unrecorded;
    bool registered { true };
    bool reachable { true };
    // When the first report under the owner's fencing token arrived.
    TimePoint firstReportAt {};
    // Time by which all leases granted so far have ended.
    TimePoint leaseEndsBy {};
    // The owner knows all runs on the upstream.
    bool confirmed { false };
    std::uint32_t consecutiveFailures { 0 };
    TimePoint suspectedUntil {};
    Duration suspicionPeriod {};
    // After a suspicion period the upstream gets one task at a time until one succeeds.
    bool onProbation { false };
    // When the current cold period was first reported; the last registration if the upstream is not cold.
    TimePoint coldSince {};

    bool isCold(TimePoint now) const { return now < info.coldUntil; }

    // True if a run of a durable job, or an unrecorded end of one, depends on the upstream's lease.
    bool hasDurableWork() const
    {
        return std::any_of(runs.begin(), runs.end(), [](const auto& entry) {
            return entry.second.origin == OriginId();
        }) || std::any_of(unrecorded.begin(), unrecorded.end(), [](const auto& end) { return !end.leaseLapsed; });
    }

    // True if runs of earlier owners may have ended without this owner knowing it yet. Of an upstream that does not
    // answer, they no longer matter once its leases are over.
    bool hidesEarlierEnds(TimePoint now) const
    {
        return registered && !confirmed && hasUnlistedEnds && (reachable || now < leaseEndsBy);
    }

    // True if a start may extend the lease of everything that runs on the upstream.
    bool mayExtendLease(TimePoint now) const;

    // False if the current incarnation has sent a report but has not registered yet: its capacity and labels may differ
    // from those in info.
    bool hasCurrentRegistration() const
    {
        return registeredStartedUnixMs == 0 || registeredStartedUnixMs >= info.startedUnixMs;
    }
};

struct ShardEngine::Task {
    enum class State {
        Waiting,
        Active,
        Done,
    };
    State state { State::Waiting };
    // The ends that have been counted; its member done is not used.
    TaskProgress counted {};
    // Upstream on which a run of an earlier owner may be in progress; empty if there is none.
    UpstreamId expectedOn {};
    RunNumber expectedRun {};
    TimePoint expectedOrderedAt {};
    // Time by which that run has ended in any case, because its lease has expired.
    TimePoint expectedUntil {};
    // Earliest next start of a long-running task that ended soon after its last start.
    TimePoint notBefore {};
    Duration restartBackoff {};
    // Number of runs that were stopped as overdue.
    std::uint32_t overdueStops { 0 };
    // Highest run number that is known of this task; it never decreases.
    RunNumber run;
    UpstreamId upstream;
    UpstreamId avoid;
    std::string checkpoint;
    // Run from which the checkpoint comes.
    RunNumber checkpointRun {};
};

struct ShardEngine::Step {
    std::vector<Task> tasks;
    std::uint32_t done { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t active { 0 };
    // Sum of the run times of completed tasks, each divided by the slowness of its upstream.
    Duration observed {};
    std::uint32_t observations { 0 };
    // Used only if the job has an advice policy.
    StepPermits permits;
};

// Time allowed in the response time objective for the advice on a step that has not been requested yet.
inline Duration maxAdviceTime(const JobSpec& spec)
{
    return spec.advice ? spec.advice->answerTime(StepPermits::maxUpstreamsAsked) : Duration::zero();
}

struct ShardEngine::Job {
    OccurrenceKey key;
    SubmissionId submission;
    OriginId origin;
    std::shared_ptr<const JobSpec> spec;
    std::vector<Step> steps;
    TimePoint submittedAt {};
    TimePoint objectiveAt {};
    TimePoint responseDeadline { TimePoint::max() };
    TimePoint firstStartAt {};
    TimePoint lastStartAt {};
    // Highest run number that is known of any task.
    RunNumber highestRun;
    // Earlier owners may have used run numbers up to this one, or upstreams refuse them.
    RunNumber runFloor {};
    bool started { false };
    // Newest progress mark that is not recorded yet; empty if all progress is recorded.
    std::optional<ProgressMark> unrecorded {};
    // Accepted by an earlier owner, which may have started runs that no upstream has reported yet.
    bool inherited { false };

    void noteRun(Task& task, RunNumber run)
    {
        task.run = std::max(task.run, run);
        highestRun = std::max(highestRun, run);
    }
    TaskKey taskKey(std::uint32_t step, std::uint32_t index) const
    {
        return { .job = key.job, .occurrence = key.occurrence, .step = step, .index = index };
    }
    // Expected run time of a task: the mean of the completed tasks of the step, or the prediction if there are none.
    Duration expectedRunTime(const RunTimeModel&, std::uint32_t step) const;
    // A job that has not started and would end later than this is dropped, because the result would be of no use.
    TimePoint latestUsefulEnd() const
    {
        return std::min(responseDeadline, objectiveAt + 2 * (objectiveAt - submittedAt));
    }
};

// A job in the order in which waiting tasks are placed.
struct ShardEngine::QueuedJob {
    // The job misses its objective even if it starts now.
    bool late { false };
    TimePoint latestStart {};
    // Null for a job that is being forecast and has not been accepted.
    Job* job { nullptr };
    const JobSpec* spec { nullptr };

    bool before(const QueuedJob& other) const
    {
        if (late != other.late)
            return other.late;
        return latestStart < other.latestStart;
    }
};

// Predicted ends of jobs whose tasks are placed in order.
struct ShardEngine::Plan {
    std::vector<QueuedJob> order;
    // Parallel to order.
    std::vector<TimePoint> endAt;
};

} // namespace Balsammill::Shards
