#include "Cases.hh"

#include <stdexcept>

namespace Review {

namespace {

constexpr std::int64_t outageMs = 2'000;
constexpr std::int64_t patienceMs = 900;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t stopGraceMs = 50;
// A machine is in touch contact_ms after the store was disturbed.
constexpr std::int64_t contactMs = 3'000;
constexpr int jobs = 8;

struct Submitted {
    std::string id;
    Reply reply;
    Reply cancelled;
    std::int64_t cancelAnsweredAt { -1 };
    std::thread thread;
};

} // namespace

bool cancelledFirstJob(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":20000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    // The first jobs that are to be kept: ten steps one after the other, 0.9 s each.
    std::string body = "{\"task_spec\":\"900\",\"steps\":[";
    for (int step = 0; step < 10; ++step)
        body += (step == 0 ? std::string() : std::string(",")) + "{\"count\":1,\"cpu\":1000,\"memory_limit_mb\":64,"
            + "\"estimated_ms\":900" + (step == 0 ? "" : ",\"after\":[" + std::to_string(step - 1) + "]") + "}";
    body += "]}";
    if (troubled()) {
        record.line("the store is silent");
        deployment.store.setMode(Store::Mode::Silent);
    }
    const auto downAt = nowMs();
    std::vector<std::unique_ptr<Submitted>> all;
    for (int i = 0; i < jobs; ++i) {
        auto job = std::make_unique<Submitted>();
        job->id = jobId(static_cast<std::uint64_t>(i));
        const auto entry = static_cast<std::size_t>(i) % deployment.entryCount();
        job->thread = std::thread([&deployment, &body, entry, raw = job.get()] {
            // The client waits for its deadline, then gives up and cancels the job.
            raw->reply = deployment.request(entry, "POST", raw->id, body, patienceMs);
            raw->cancelled = deployment.request(entry, "DELETE", raw->id, {}, 4'000);
            if (raw->cancelled.status == 410 || raw->cancelled.status / 100 == 2)
                raw->cancelAnsweredAt = nowMs();
        });
        all.push_back(std::move(job));
    }
    sleepMs(outageMs - (nowMs() - downAt));
    deployment.store.setMode(Store::Mode::Up);
    const auto upAt = nowMs();
    record.line("the store is up");
    for (auto& job : all)
        job->thread.join();
    sleepMs(14'000);
    // UNASKED: a machine in touch starts a task later than cancel_ms after the job's cancelling was acknowledged, or a
    // task runs on stop_grace_ms after that.
    std::size_t broken = 0;
    for (const auto& job : all) {
        if (job->cancelAnsweredAt < 0)
            continue;
        const auto bound = job->cancelAnsweredAt + cancelMs;
        for (const auto& run : deployment.ledger.runsOf(job->id)) {
            if (run.startedAt <= bound || run.startedAt <= upAt + contactMs)
                continue;
            ++broken;
            record.line("UNASKED: " + run.task + " is started on " + run.worker + " at " + std::to_string(run.startedAt)
                + "; DELETE was answered with " + std::to_string(job->cancelled.status) + " at "
                + std::to_string(job->cancelAnsweredAt));
        }
    }
    record.line("starts too late after a cancelling: " + std::to_string(broken));
    return broken == 0;
}

} // namespace Review
