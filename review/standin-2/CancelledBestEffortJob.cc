#include "Cases.hh"

#include <stdexcept>

namespace Review {

namespace {

constexpr int jobs = 12;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t stopGraceMs = 50;
constexpr std::int64_t clientDeadlineMs = 20'000;

struct Submitted {
    std::string id;
    Reply reply;
    std::int64_t cancelAnsweredAt { -1 };
    std::thread thread;
};

} // namespace

bool cancelledBestEffortJob(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":5000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    std::string body = "{\"task_spec\":\"900\",\"best_effort\":true,\"steps\":[";
    for (int step = 0; step < 6; ++step)
        body += (step == 0 ? std::string() : std::string(",")) + "{\"count\":2,\"cpu\":1000,\"memory_limit_mb\":64,"
            + "\"estimated_ms\":900" + (step == 0 ? "" : ",\"after\":[" + std::to_string(step - 1) + "]") + "}";
    body += "]}";
    std::vector<std::unique_ptr<Submitted>> all;
    for (int i = 0; i < jobs; ++i) {
        auto job = std::make_unique<Submitted>();
        job->id = jobId(static_cast<std::uint64_t>(i));
        const auto entry = static_cast<std::size_t>(i) % deployment.entryCount();
        job->thread = std::thread([&deployment, &body, entry, raw = job.get()] {
            raw->reply = deployment.request(entry, "POST", raw->id, body, clientDeadlineMs);
        });
        all.push_back(std::move(job));
        sleepMs(50);
    }
    if (troubled()) {
        sleepMs(300);
        for (std::size_t i = 0; i < all.size(); i += 3) {
            const auto reply
                = deployment.request((i + 1) % deployment.entryCount(), "DELETE", all[i]->id, {}, 2000);
            if (reply.status == 410 || reply.status / 100 == 2)
                all[i]->cancelAnsweredAt = nowMs();
        }
    }
    for (auto& job : all)
        job->thread.join();
    // UNASKED: a start later than cancel_ms after the cancelling was acknowledged, or a run stop_grace_ms after that.
    std::size_t broken = 0;
    for (const auto& job : all) {
        if (job->cancelAnsweredAt < 0)
            continue;
        for (const auto& run : deployment.ledger.runsOf(job->id)) {
            const bool late = run.startedAt > job->cancelAnsweredAt + cancelMs;
            const bool runsOn = run.endedAt < 0 || run.endedAt > job->cancelAnsweredAt + cancelMs + stopGraceMs;
            if (!late && !runsOn)
                continue;
            ++broken;
            record.line("UNASKED: " + run.task + " on " + run.worker + " from " + std::to_string(run.startedAt) + " to "
                + std::to_string(run.endedAt) + "; the cancelling was answered at "
                + std::to_string(job->cancelAnsweredAt));
        }
    }
    record.line("starts or runs too late after a cancelling: " + std::to_string(broken));
    return broken == 0;
}

} // namespace Review
