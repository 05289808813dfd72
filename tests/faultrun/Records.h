#pragma once

#include "balsammill/base/Verdict.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace FaultRun {

using Balsammill::Verdict;

/// Result of one submission of a job, as recorded by its caller. Times are microseconds since the Unix epoch.
struct JobAttempt {
    std::string jobId;
    int tasks { 0 };
    std::int64_t beginUs { 0 };
    std::int64_t endUs { 0 };
    bool complete { false };
    int answers { 0 };
    /// Number of answers whose request id is not that of their task.
    int mismatched { 0 };
    Verdict verdict { Verdict::MayHaveRun };
    std::string error;
};

/// Result of one call, as recorded by its caller. Calls are not repeated, so each has its own id.
struct CallAttempt {
    std::string id;
    bool idempotent { false };
    std::int64_t beginUs { 0 };
    std::int64_t endUs { 0 };
    bool ok { false };
    bool mismatched { false };
    Verdict verdict { Verdict::MayHaveRun };
    std::string error;
};

/// Configuration version of one entry process, sampled during the run.
struct VersionSample {
    std::string vm;
    std::uint64_t incarnation { 0 };
    std::uint64_t version { 0 };
};

/// Interval in which the VM of an upstream was leaving and the upstream must not get new tasks.
struct LeavingInterval {
    std::string upstreamVm;
    std::int64_t beginUs { 0 };
    std::int64_t endUs { 0 };
};

/// One task start from the start log of an upstream.
struct UpstreamStart {
    std::string upstreamVm;
    std::string taskId;
    std::int64_t startUs { 0 };
};

/// Observations of the whole run, as input of the checker. Writers hold the mutex.
struct Records {
    std::mutex mutex;
    std::vector<JobAttempt> jobs;
    std::vector<CallAttempt> calls;
    std::vector<VersionSample> versions;
    std::vector<std::uint64_t> acceptedVersions;
    std::vector<LeavingInterval> leavingIntervals;
    /// Exit status of each gracefully stopped entry; -1 if it did not exit in time.
    std::vector<int> gracefulExitStatuses;
    std::vector<UpstreamStart> starts;
    /// Configuration version of each entry at the end of the run, by VM.
    std::map<std::string, std::uint64_t> finalVersions;
    /// Number of injected faults by kind.
    std::map<std::string, int> faultCounts;
};

} // namespace FaultRun
