#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill::Shards {

using UpstreamId = StrongId<struct UpstreamIdTag>;
/// A queue of jobs: what the configuration calls a route.
using QueueName = StrongId<struct QueueNameTag>;
/// Number of a start of one task; a later start has a higher number.
using RunNumber = StrongNumber<struct RunNumberTag>;
/// Identifies one submission within the process that accepted it.
using SubmissionId = StrongNumber<struct SubmissionIdTag>;

/// Room on an upstream, or what a task needs of it.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    bool fitsIn(const Resources& room) const
    {
        return milliCores <= room.milliCores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    bool operator==(const Resources&) const = default;
};

/// Tasks of a job that run alike.
struct StepSpec {
    std::uint32_t count { 1 };
    Resources need;
    /// Declared run time of one task; only a rough figure.
    Duration estimate {};
    /// Indices of earlier steps whose tasks must all have completed before.
    std::vector<std::uint32_t> after;
    /// Label that an upstream must have; empty if any will do.
    std::string requiredLabel;
    /// Rack that holds the data; empty if none does.
    std::string preferredRack;
    /// Most tasks of this step on one upstream at a time; 0 if unlimited.
    std::uint32_t maxPerUpstream { 0 };
    /// All tasks of the step have to run at the same time.
    bool gang { false };
    /// The tasks are slower when they run in more than one rack.
    bool sameRack { false };
    bool checkpoints { false };
};

/// A service outside of balsammill decides which upstreams may run a step, and issues a ticket for each of them.
struct AdvicePolicy {
    /// How long the service takes to answer, and how much longer for each upstream that it is asked about.
    Duration decision {};
    Duration perUpstream {};
    /// How long a ticket can be used.
    Duration validity {};

    Duration answerTime(std::size_t upstreams) const
    {
        return decision + perUpstream * static_cast<Duration::rep>(upstreams);
    }
};

/// When the passes of a repeated job are due.
struct RepeatSchedule {
    std::uint32_t count { 1 };
    /// Unix time of pass 0 in milliseconds.
    std::int64_t firstRunUnixMs { 0 };
    Duration interval {};
};

/// A job as its client submitted it, with what the configuration says of its queue.
struct JobSpec {
    JobId id;
    QueueName queue;
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    /// Most starts of one task that may end in failure.
    std::uint32_t maxAttempts { 1 };
    /// The response time objective is stretch times the longest chain of work, plus targetOverhead.
    double stretch { 1.0 };
    Duration targetOverhead {};
    /// Passed to the upstream with each start.
    std::string payload;
    std::vector<StepSpec> steps;
    /// The job is recorded in the store before it is accepted, and its client asks for its state later. Otherwise the
    /// client waits for the end, and the job is lost with its owner.
    bool durable { false };
    /// The tasks run until the job is cancelled, and start again however they end.
    bool longRunning { false };
    /// Empty if any upstream of the service may run the steps.
    std::optional<AdvicePolicy> advice {};
    /// Empty if the steps run once, as soon as there is room.
    std::optional<RepeatSchedule> schedule {};
};

/// One pass through the steps of a job; a job without a schedule has only pass 0.
struct OccurrenceKey {
    JobId job {};
    std::uint32_t occurrence { 0 };

    auto operator<=>(const OccurrenceKey&) const = default;
    bool empty() const { return job.empty(); }
};

/// Identifies one task of a job.
struct TaskKey {
    JobId job;
    std::uint32_t occurrence { 0 };
    std::uint32_t step { 0 };
    std::uint32_t index { 0 };

    auto operator<=>(const TaskKey&) const = default;
    OccurrenceKey occurrenceKey() const { return { .job = job, .occurrence = occurrence }; }
};

} // namespace Balsammill::Shards

template <> struct std::hash<Balsammill::Shards::OccurrenceKey> {
    std::size_t operator()(const Balsammill::Shards::OccurrenceKey& key) const noexcept
    {
        return std::hash<std::string> {}(key.job.value) * 31 + key.occurrence;
    }
};

template <> struct std::hash<Balsammill::Shards::TaskKey> {
    std::size_t operator()(const Balsammill::Shards::TaskKey& key) const noexcept
    {
        return std::hash<std::string> {}(key.job.value) * 31 + key.occurrence * 1000003ULL + key.step * 8191ULL
            + key.index;
    }
};
