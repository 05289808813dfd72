#include "Checker.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace FaultRun {

namespace {

using Violations = std::vector<std::string>;

/// Start times in microseconds, by task id and by the job or call id that the caller chose.
struct StartIndex {
    std::map<std::string, std::vector<std::int64_t>> byTask;
    std::map<std::string, std::vector<std::int64_t>> byRequest;
};

// Returns the job or call id within a task id. The task ids of a job have the form "<...>/<job id>/<index>"; the task
// id of a call ends with the call id.
std::string requestOf(const std::string& taskId)
{
    const auto jobAt = taskId.find("job-s");
    const auto callAt = taskId.find("call-s");
    if (jobAt != std::string::npos)
        return taskId.substr(jobAt, taskId.find('/', jobAt) - jobAt);
    return callAt != std::string::npos ? taskId.substr(callAt) : taskId;
}

StartIndex indexStarts(const Records& records)
{
    StartIndex index;
    for (const auto& start : records.starts) {
        index.byTask[start.taskId].push_back(start.startUs);
        index.byRequest[requestOf(start.taskId)].push_back(start.startUs);
    }
    return index;
}

bool hasStartBefore(const StartIndex& index, const std::string& requestId, std::int64_t timeUs)
{
    const auto found = index.byRequest.find(requestId);
    return found != index.byRequest.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](std::int64_t start) { return start < timeUs; });
}

void checkStarts(const Records& records, const StartIndex& index, Violations& violations)
{
    std::set<std::string> idempotent;
    for (const auto& call : records.calls) {
        if (call.idempotent)
            idempotent.insert(call.id);
    }
    for (const auto& [task, starts] : index.byTask) {
        const auto requestId = requestOf(task);
        if (starts.size() > 1 && !idempotent.contains(requestId))
            violations.push_back((requestId.starts_with("job-") ? "P1: task " : "P5: call ") + task + " started "
                + std::to_string(starts.size()) + " times, expected at most 1");
    }
}

// A failed connection is excluded: it proves only that this attempt did not run, and says nothing of earlier attempts.
bool wasRefusedByEntry(const JobAttempt& job)
{
    return job.verdict == Verdict::NotRun && !job.error.starts_with("cannot connect to");
}

void checkJobs(const Records& records, const StartIndex& index, Violations& violations)
{
    for (const auto& job : records.jobs) {
        if (job.complete && job.answers != job.tasks)
            violations.push_back("P2: job " + job.jobId + " is complete with " + std::to_string(job.answers)
                + " answers, expected " + std::to_string(job.tasks));
        if (!job.complete && job.answers != 0)
            violations.push_back(
                "P2: job " + job.jobId + " failed with " + std::to_string(job.answers) + " answers, expected 0");
        if (job.mismatched != 0)
            violations.push_back(
                "P3: job " + job.jobId + " got " + std::to_string(job.mismatched) + " answers of other tasks");
        if (wasRefusedByEntry(job) && hasStartBefore(index, job.jobId, job.endUs))
            violations.push_back("P4: job " + job.jobId + " got the verdict not-run, but had started: " + job.error);
    }
}

void checkCalls(const Records& records, const StartIndex& index, Violations& violations)
{
    for (const auto& call : records.calls) {
        if (call.mismatched)
            violations.push_back("P3: call " + call.id + " got the answer of another call");
        if (call.verdict == Verdict::NotRun && index.byRequest.contains(call.id))
            violations.push_back("P4: call " + call.id + " got the verdict not-run, but started: " + call.error);
        if (call.ok && !index.byRequest.contains(call.id))
            violations.push_back("P3: call " + call.id + " was answered, but no upstream started it");
    }
}

void checkLeavingIntervals(const Records& records, Violations& violations)
{
    for (const auto& interval : records.leavingIntervals) {
        const auto starts
            = std::count_if(records.starts.begin(), records.starts.end(), [&](const UpstreamStart& start) {
                  return start.upstreamVm == interval.upstreamVm && start.startUs > interval.beginUs
                      && start.startUs < interval.endUs;
              });
        if (starts != 0)
            violations.push_back("P6: upstream " + interval.upstreamVm + " on a leaving VM got "
                + std::to_string(starts) + " new tasks after 3 s, expected 0");
    }
}

void checkStops(const Records& records, Violations& violations)
{
    for (const auto status : records.gracefulExitStatuses) {
        if (status != 0)
            violations.push_back("P7: a graceful stop ended with status " + std::to_string(status) + ", expected 0");
    }
}

void checkVersions(const Records& records, Violations& violations)
{
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> highest;
    for (const auto& sample : records.versions) {
        auto& seen = highest[{ sample.vm, sample.incarnation }];
        if (sample.version < seen)
            violations.push_back("P8: configuration version on " + sample.vm + " decreased from " + std::to_string(seen)
                + " to " + std::to_string(sample.version));
        seen = std::max(seen, sample.version);
    }
    std::set<std::uint64_t> accepted;
    std::uint64_t newest = 0;
    for (const auto version : records.acceptedVersions) {
        if (!accepted.insert(version).second)
            violations.push_back("P8: configuration version " + std::to_string(version) + " was accepted twice");
        newest = std::max(newest, version);
    }
    for (const auto& [vm, version] : records.finalVersions) {
        if (version < newest)
            violations.push_back("P8: " + vm + " ended with configuration version " + std::to_string(version)
                + ", expected at least " + std::to_string(newest));
    }
}

template <typename Attempts> void countVerdicts(std::ostringstream& text, const char* name, const Attempts& attempts)
{
    std::map<Verdict, int> counts;
    for (const auto& attempt : attempts)
        ++counts[attempt.verdict];
    text << name << ": " << attempts.size() << " attempts, " << counts[Verdict::Ran] << " ran, "
         << counts[Verdict::NotRun] << " not-run, " << counts[Verdict::MayHaveRun] << " may-have-run\n";
}

} // namespace

std::vector<std::string> findViolations(const Records& records)
{
    Violations violations;
    const auto index = indexStarts(records);
    checkStarts(records, index, violations);
    checkJobs(records, index, violations);
    checkCalls(records, index, violations);
    checkLeavingIntervals(records, violations);
    checkStops(records, violations);
    checkVersions(records, violations);
    return violations;
}

std::string summarize(const Records& records)
{
    std::ostringstream text;
    countVerdicts(text, "jobs", records.jobs);
    countVerdicts(text, "calls", records.calls);
    text << "task starts: " << records.starts.size() << ", graceful stops: " << records.gracefulExitStatuses.size()
         << ", accepted configuration changes: " << records.acceptedVersions.size() << "\nfaults:";
    for (const auto& [name, count] : records.faultCounts)
        text << ' ' << name << '=' << count;
    text << '\n';
    return text.str();
}

} // namespace FaultRun
