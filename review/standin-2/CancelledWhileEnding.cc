#include "Cases.hh"

#include <algorithm>
#include <csignal>
#include <map>
#include <stdexcept>

namespace Review {

namespace {

constexpr std::int64_t trafficMs = 30'000;
constexpr std::int64_t intervalMs = 40;
constexpr int runMs = 400;
// give_up: two fifths of the jobs of 6 s are cancelled, each within 560 ms of its acknowledgement.
constexpr std::int64_t cancelFromMs = 2'000;
constexpr std::int64_t cancelForMs = 6'000;
constexpr std::uint64_t cancelledInFive = 2;
constexpr std::uint64_t cancelWithinMs = 560;
// ack_timeout_ms
constexpr std::int64_t stretchMs = 4'000;
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t graceMs = 7'000;
constexpr std::int64_t gapMs = 2'000;
constexpr std::int64_t afterStopsMs = 4'000;

struct Submitted {
    std::string id;
    bool accepted { false };
    bool cancelled { false };
    std::thread thread;
};

} // namespace

bool cancelledWhileEnding(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":5000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    const std::string body = "{\"task_spec\":\"" + std::to_string(runMs)
        + "\",\"steps\":[{\"count\":8,\"cpu\":1000,\"memory_limit_mb\":64,\"estimated_ms\":" + std::to_string(runMs)
        + "}]}";
    std::vector<std::unique_ptr<Submitted>> all;
    const auto begunAt = nowMs();
    for (std::uint64_t number = 0; nowMs() - begunAt < trafficMs; ++number) {
        auto job = std::make_unique<Submitted>();
        job->id = jobId(number);
        const auto since = nowMs() - begunAt - cancelFromMs;
        job->cancelled = troubled() && since >= 0 && since < cancelForMs && number % 5 < cancelledInFive;
        job->thread = std::thread([&deployment, &body, number, raw = job.get()] {
            const auto entry = number % deployment.entryCount();
            raw->accepted = deployment.request(entry, "POST", raw->id, body, 3000).status == 200;
            if (!raw->accepted || !raw->cancelled)
                return;
            sleepMs(static_cast<std::int64_t>(number * 37 % cancelWithinMs));
            deployment.request(entry, "DELETE", raw->id, {}, 3000);
        });
        all.push_back(std::move(job));
        if (number % 20 == 0) {
            std::string counts;
            for (const auto& worker : deployment.workers)
                counts += " " + worker->options().id + " " + std::to_string(worker->endsListed());
            record.line("ends not taken note of:" + counts);
        }
        sleepMs(intervalMs);
    }
    for (auto& job : all)
        job->thread.join();
    record.line("the traffic has ended");
    sleepMs(finishMs);
    std::vector<std::string> open;
    std::size_t accepted = 0;
    for (const auto& job : all) {
        if (!job->accepted || job->cancelled)
            continue;
        ++accepted;
        const auto reply = call(
            deployment.entry(0).clientPort, "GET", Deployment::prefix + job->id, Deployment::host, {}, 2000);
        if (reply.body.find("completed") == std::string::npos)
            open.push_back(job->id);
    }
    // Acks: more than a fifth of the ends that workers list are not taken note of after a stretch of ack_timeout_ms in
    // which the core was stable and no link disrupted.
    std::size_t listed = 0;
    std::size_t notNoted = 0;
    for (const auto& run : deployment.ledger.entries()) {
        if (run.endedAt < 0 || nowMs() - run.endedAt < stretchMs)
            continue;
        ++listed;
        notNoted += run.notedAt < 0 ? 1 : 0;
    }
    record.line("accepted and not cancelled " + std::to_string(accepted) + ", of these not completed "
        + std::to_string(open.size()));
    record.line("ends listed for " + std::to_string(stretchMs) + " ms or longer " + std::to_string(listed)
        + ", of these not taken note of " + std::to_string(notNoted) + " (Acks allows a fifth)");
    if (troubled()) {
        // roll_term: the machines are stopped and started in turn.
        for (std::size_t i = 0; i < deployment.entryCount(); ++i) {
            auto& entry = deployment.entry(i);
            deployment.signal(entry, SIGTERM);
            const auto until = nowMs() + graceMs;
            while (!deployment.ended(entry) && nowMs() < until)
                sleepMs(10);
            sleepMs(gapMs);
            if (!deployment.restart(entry))
                throw std::runtime_error("an entry did not become ready again");
        }
    }
    sleepMs(afterStopsMs);
    // TWICE: a start after a run has ended `done`, if that end is taken note of then or later, and the worker's lease
    // has not lapsed between the two.
    std::map<std::string, std::vector<RunEntry>> byTask;
    for (const auto& entry : deployment.ledger.entries())
        byTask[entry.task].push_back(entry);
    std::size_t again = 0;
    std::size_t mostRuns = 0;
    for (const auto& [task, runs] : byTask) {
        mostRuns = std::max(mostRuns, runs.size());
        for (const auto& later : runs) {
            const auto done = std::find_if(runs.begin(), runs.end(), [&](const RunEntry& run) {
                return run.how == "done" && run.endedAt < later.startedAt && run.notedAt >= 0 && !run.lapsedBeforeNote;
            });
            if (done == runs.end() || ++again > 20)
                continue;
            record.line("TWICE: " + task + " run " + std::to_string(done->run) + " ended done on " + done->worker
                + " at " + std::to_string(done->endedAt) + ", noted at " + std::to_string(done->notedAt) + "; run "
                + std::to_string(later.run) + " started on " + later.worker + " at " + std::to_string(later.startedAt));
        }
    }
    record.line("runs " + std::to_string(deployment.ledger.entries().size()) + " of " + std::to_string(byTask.size())
        + " tasks, at most " + std::to_string(mostRuns) + " of one; starts after an end `done` that was noted "
        + std::to_string(again));
    return again == 0;
}

} // namespace Review
