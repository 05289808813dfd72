#pragma once

#include "balsammill/base/Verdict.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace FaultRun {

using Balsammill::Verdict;

/// One submission of a job as its caller saw it; times are microseconds since the Unix epoch.
struct JobAttempt {
    std::string jobId;
    int tasks { 0 };
    std::int64_t beginUs { 0 };
    std::int64_t endUs { 0 };
    bool complete { false };
    int answers { 0 };
    /// Answers that do not belong to their task.
    int mismatched { 0 };
    Verdict verdict { Verdict::MayHaveRun };
    std::string error;
};

/// One call as its caller saw it. Each attempt has an id of its own.
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

struct VersionSample {
    std::string vm;
    std::uint64_t incarnation { 0 };
    std::uint64_t version { 0 };
};

/// An interval in which an upstream was leaving and had to get no new work.
struct QuietInterval {
    std::string upstreamVm;
    std::int64_t beginUs { 0 };
    std::int64_t endUs { 0 };
};

struct UpstreamStart {
    std::string upstreamVm;
    std::string taskId;
    std::int64_t startUs { 0 };
};

/// What the run saw, for the checker. Writers hold the mutex.
struct Records {
    std::mutex mutex;
    std::vector<JobAttempt> jobs;
    std::vector<CallAttempt> calls;
    std::vector<VersionSample> versions;
    std::vector<std::uint64_t> acceptedVersions;
    std::vector<QuietInterval> quiet;
    std::vector<int> gracefulExits;
    std::vector<UpstreamStart> starts;
    std::map<std::string, std::uint64_t> finalVersions;
    std::map<std::string, int> faults;
};

} // namespace FaultRun
