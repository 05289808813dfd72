#pragma once

#include "balsammill/shards/ShardEngine.h"

#include <memory>
#include <string>
#include <vector>

namespace Balsammill::Shards::Testing {

using std::chrono::milliseconds;

inline TimePoint at(int ms) { return TimePoint(Duration(milliseconds(1'000'000 + ms))); }

struct JobOptions {
    std::string id { "00000000000000a1" };
    std::string queue { "checks" };
    std::uint32_t tasks { 1 };
    std::int64_t milliCores { 10'000 };
    int estimateMs { 100 };
    std::uint32_t maxAttempts { 2 };
    std::uint32_t priority { 0 };
    double stretch { 1.6 };
    int overheadMs { 60 };
};

inline JobSpec makeSpec(const JobOptions& options)
{
    JobSpec spec;
    spec.id = JobId(options.id);
    spec.queue = QueueName(options.queue);
    spec.service = ServiceName("tanim");
    spec.maxAttempts = options.maxAttempts;
    spec.priority = options.priority;
    spec.stretch = options.stretch;
    spec.targetOverhead = milliseconds(options.overheadMs);
    spec.payload = "payload";
    StepSpec step;
    step.count = options.tasks;
    step.need = { .milliCores = options.milliCores, .memoryMb = 64, .accelerators = 0 };
    step.estimate = milliseconds(options.estimateMs);
    spec.steps.push_back(step);
    return spec;
}

inline std::shared_ptr<const JobSpec> makeJob(const JobOptions& options)
{
    return std::make_shared<const JobSpec>(makeSpec(options));
}

inline UpstreamInfo makeUpstream(const std::string& id, std::int64_t milliCores = 32'000)
{
    UpstreamInfo info;
    info.id = UpstreamId(id);
    info.service = ServiceName("tanim");
    info.domain = FailureDomain("valencia");
    info.address = NetworkAddress("127.0.0.1:1");
    info.capacity = { .milliCores = milliCores, .memoryMb = 131'072, .accelerators = 0 };
    info.labels = { "a", "r1-1" };
    info.startedUnixMs = 1000;
    return info;
}

/// Drives an engine and filters its actions by type.
struct EngineFixture {
    ShardEngine engine;
    std::uint64_t lastSubmission { 0 };
    // Confirmed runs; reportEnd() lists those of the same upstream as running.
    std::vector<StartTask> running;

    void addUpstream(const UpstreamInfo& info, int ms = 0)
    {
        engine.updateUpstream(info, at(ms));
        // The engine needs two reports, at least stopGrace apart.
        for (const int time : { ms - 100, ms })
            engine.handleReport(
                info.id, { .startedUnixMs = info.startedUnixMs, .running = {}, .ended = {} }, at(time), at(time));
    }

    SubmissionId submit(const JobOptions& options, int ms)
    {
        const SubmissionId submission { ++lastSubmission };
        engine.submit(submission, makeJob(options), at(ms), TimePoint::max());
        return submission;
    }

    template <typename Action> std::vector<Action> scheduleAndTake(int ms)
    {
        engine.schedule(at(ms));
        return takeActionsOf<Action>();
    }

    template <typename Action> std::vector<Action> takeActionsOf()
    {
        std::vector<Action> wanted;
        for (const auto& action : engine.takeActions()) {
            if (const auto* match = std::get_if<Action>(&action))
                wanted.push_back(*match);
        }
        return wanted;
    }

    void confirmStart(const StartTask& start, int ms)
    {
        engine.handleStarted(start.upstream, start.task, start.run, at(ms));
        running.push_back(start);
    }

    void reportEnd(const StartTask& start, std::uint64_t sequence, RunEnd how, int ms)
    {
        std::erase_if(running, [&](const StartTask& each) { return each.task == start.task && each.run == start.run; });
        UpstreamReport report;
        for (const auto& each : running) {
            if (each.upstream == start.upstream)
                report.running.push_back({ .task = each.task, .run = each.run, .checkpoint = {} });
        }
        report.ended.push_back(
            { .sequence = sequence, .task = start.task, .run = start.run, .how = how, .checkpoint = {} });
        engine.handleReport(start.upstream, report, at(ms - 1), at(ms));
    }
};

} // namespace Balsammill::Shards::Testing
