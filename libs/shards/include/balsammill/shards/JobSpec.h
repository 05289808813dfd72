#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Balsammill::Shards {

using UpstreamId = StrongId<struct UpstreamIdTag>;
/// A queue of jobs, called a route in the configuration.
using QueueName = StrongId<struct QueueNameTag>;
/// Numbers the starts of one task in increasing order.
using RunNumber = StrongNumber<struct RunNumberTag>;
/// Identifies one submission within the process that accepted it.
using SubmissionId = StrongNumber<struct SubmissionIdTag>;
/// Group of submissions whose clients are confirmed together, such as those of one connection from another entry. 0
/// stands for jobs that need no waiting client.
using OriginId = StrongNumber<struct OriginIdTag>;

/// Capacity of an upstream, or the part of it that a task needs.
struct Resources {
    std::int64_t milliCores { 0 };
    std::int64_t memoryMb { 0 };
    std::int64_t accelerators { 0 };

    bool fitsIn(const Resources& freeCapacity) const
    {
        return milliCores <= freeCapacity.milliCores && memoryMb <= freeCapacity.memoryMb
            && accelerators <= freeCapacity.accelerators;
    }
    Resources& operator+=(const Resources& other);
    Resources& operator-=(const Resources& other);
    bool operator==(const Resources&) const = default;
};

/// A group of tasks of a job with the same requirements.
struct StepSpec {
    std::uint32_t count { 1 };
    Resources need;
    /// Run time of one task as declared by the client; a rough estimate.
    Duration estimate {};
    /// Indices of earlier steps of the job that must be complete before this one starts.
    std::vector<std::uint32_t> after;
    /// Label that the upstream must have; empty if there is no restriction.
    std::string requiredLabel;
    /// Rack that holds the input data; empty if there is none.
    std::string preferredRack;
    /// Maximum number of concurrent tasks of this step on one upstream; 0 if unlimited.
    std::uint32_t maxPerUpstream { 0 };
    /// All tasks of the step have to run at the same time (gang scheduling).
    bool gang { false };
    /// The tasks run slower if they are spread over several racks.
    bool sameRack { false };
    /// Names what the tasks run; empty if the client does not state it.
    std::string image {};
    /// A restarted task resumes from the checkpoint of its last run.
    bool checkpoints { false };
};

/// Placement advice: an external service decides which upstreams may run a step and issues a ticket for each of them.
struct AdvicePolicy {
    /// Answer time of the service: a base part, and a part for each upstream in the request.
    Duration decision {};
    Duration perUpstream {};
    /// How long a ticket is valid, counted from when it was requested.
    Duration validity {};

    Duration answerTime(std::size_t upstreams) const
    {
        return decision + perUpstream * static_cast<Duration::rep>(upstreams);
    }
};

/// When the occurrences of a repeated job are due.
struct RepeatSchedule {
    std::uint32_t count { 1 };
    /// Unix time of occurrence 0 in milliseconds.
    std::int64_t firstRunUnixMs { 0 };
    Duration interval {};
};

/// A job as its client submitted it, together with the configured settings of its queue.
struct JobSpec {
    JobId id;
    QueueName queue;
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    /// Number of failed runs of one task after which the job fails.
    std::uint32_t maxAttempts { 1 };
    /// The response time objective is stretch times the critical path of the job, plus targetOverhead.
    double stretch { 1.0 };
    Duration targetOverhead {};
    /// Sent to the upstream with each start.
    std::string payload;
    std::vector<StepSpec> steps;
    /// The job is written to the store before it is accepted, and its client polls for its state. Otherwise the client
    /// waits for the result, and the job is lost if its owner crashes.
    bool durable { false };
    /// The tasks run until the job is cancelled; they are restarted regardless of how they end.
    bool longRunning { false };
    /// Empty if the placement of the steps needs no advice.
    std::optional<AdvicePolicy> advice {};
    /// Empty if the steps run once, as soon as there is capacity.
    std::optional<RepeatSchedule> schedule {};
};

/// One execution of all steps of a job; a job without a schedule has only occurrence 0.
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
