#pragma once

#include "balsammill/shards/ShardEngine.h"

#include <algorithm>

namespace Balsammill::Shards {

// Tasks of sound upstreams rarely fail, and two in a row almost never.
inline constexpr std::uint32_t failuresBeforeSuspicion = 2;

enum class RunState {
    /// The start was sent and not answered.
    Ordered,
    Running,
    Stopping,
};

struct ShardEngine::Run {
    RunNumber number {};
    // Empty if no job waits for it.
    OccurrenceKey job {};
    UpstreamId upstream {};
    Resources need {};
    // Started by an earlier owner: how much room it uses is not known.
    bool foreign { false };
    // Adopted without knowing when it was started, so that its run time teaches nothing.
    bool startUnknown { false };
    // A report of the upstream's present incarnation has listed it.
    bool listed { false };
    RunState state { RunState::Ordered };
    TimePoint orderedAt {};
    // Once the upstream has confirmed the start.
    TimePoint confirmedAt {};
    TimePoint expectedEnd {};
    TimePoint stopSentAt {};
    // Since when no report has listed it although it is being stopped; unset while it is listed.
    TimePoint unlistedSince {};
};

// An end that was counted and is not in the store yet.
struct UnrecordedEnd {
    std::uint64_t sequence { 0 };
    OccurrenceKey job {};
    ProgressMark mark {};
};

struct ShardEngine::Upstream {
    UpstreamInfo info;
    Resources room;
    std::map<TaskKey, Run> runs;
    // Runs of earlier owners; the room is not known while there is one.
    std::uint32_t foreignRuns { 0 };
    std::uint64_t lastEndHandled { 0 };
    // Start time of the incarnation that registered the service, capacity and labels in info; 0 if it told none.
    std::int64_t describedBornMs { 0 };
    std::vector<UnrecordedEnd> unrecorded;
    bool registered { true };
    bool reachable { true };
    // When its first report under the owner's fencing token arrived.
    TimePoint firstReportAt {};
    // Nothing runs there that the owner does not know of.
    bool confirmed { false };
    std::uint32_t consecutiveFailures { 0 };
    TimePoint suspectedUntil {};
    Duration suspicion {};
    // After a suspicion it gets one task at a time until one succeeds.
    bool onProbation { false };

    // An incarnation that has reported but not registered yet may have another capacity and other labels.
    bool isDescribed() const { return describedBornMs == 0 || describedBornMs >= info.bornMs; }
};

struct ShardEngine::Task {
    enum class State {
        Waiting,
        Active,
        Done,
    };
    State state { State::Waiting };
    std::uint32_t failures { 0 };
    // Highest run whose end has been counted.
    RunNumber countedRun {};
    // Upstream on which an earlier owner's run may be going on; empty if there is none.
    UpstreamId expectedOn {};
    TimePoint expectedOrderedAt {};
    // By then that run is over in any case.
    TimePoint expectedUntil {};
    // Earliest next start of a task that keeps ending soon after its start.
    TimePoint notBefore {};
    Duration restartPause {};
    // Runs that were stopped because they took too long.
    std::uint32_t overdueStops { 0 };
    RunNumber run;
    UpstreamId upstream;
    UpstreamId avoid;
    std::string checkpoint;

    bool isExpected(TimePoint now) const { return !expectedOn.empty() && now < expectedUntil; }
};

struct ShardEngine::Step {
    std::vector<Task> tasks;
    std::uint32_t done { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t active { 0 };
    // Sum over completed tasks of their run time, corrected by the rating of their upstreams.
    Duration observed {};
    std::uint32_t observations { 0 };
    // Used only if the placement of the job is advised.
    StepPermits permits;
};

// How long the advice on a step may take that has not been asked for; the response time objective allows for it.
inline Duration adviceTime(const JobSpec& spec)
{
    return spec.advice ? spec.advice->answerTime(StepPermits::maxUpstreamsAsked) : Duration::zero();
}

struct ShardEngine::Job {
    OccurrenceKey key;
    SubmissionId submission;
    std::shared_ptr<const JobSpec> spec;
    std::vector<Step> steps;
    TimePoint submittedAt {};
    TimePoint objectiveAt {};
    TimePoint answerBy { TimePoint::max() };
    TimePoint firstStartAt {};
    TimePoint lastStartAt {};
    RunNumber highestRun;
    // An upstream may refuse run numbers up to this one.
    RunNumber runFloor {};
    bool started { false };
    // Newest progress that was handed out to be recorded; empty once it is.
    std::optional<ProgressMark> unrecorded {};
    // Accepted by an earlier owner, which may have started tasks that no upstream has reported yet.
    bool inherited { false };

    TaskKey taskKey(std::uint32_t step, std::uint32_t index) const
    {
        return { .job = key.job, .occurrence = key.occurrence, .step = step, .index = index };
    }
    // Expected run time of a task, by its completed siblings if there are any.
    Duration expectedRunTime(const RunTimeModel&, std::uint32_t step) const;
    // Without a start until then, the job ends too late to be of use.
    TimePoint uselessAfter() const { return std::min(answerBy, objectiveAt + 2 * (objectiveAt - submittedAt)); }
};

// A job's position in the order in which waiting tasks are placed.
struct ShardEngine::Place {
    // It misses its objective even if it starts now.
    bool late { false };
    TimePoint latestStart {};
    // Null for a job that has not been accepted.
    Job* job { nullptr };
    const JobSpec* spec { nullptr };

    bool before(const Place& other) const
    {
        if (late != other.late)
            return other.late;
        return latestStart < other.latestStart;
    }
};

// When jobs would end if their tasks were placed in order.
struct ShardEngine::Plan {
    std::vector<Place> order;
    // Same positions as order.
    std::vector<TimePoint> endAt;
};

} // namespace Balsammill::Shards
