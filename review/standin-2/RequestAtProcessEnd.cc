#include "Cases.hh"

#include <csignal>
#include <stdexcept>

namespace Review {

namespace {

constexpr std::int64_t requestIntervalMs = 100;
constexpr int runMs = 50;
constexpr std::int64_t clientDeadlineMs = 1500;
// roll_term stops one machine after the other.
constexpr std::int64_t graceMs = 6000;

struct Sent {
    std::string id;
    std::string entry;
    std::int64_t at { 0 };
    Reply reply;
    std::int64_t answeredAt { 0 };
    std::thread thread;
};

} // namespace

bool requestAtProcessEnd(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":1.6,\"target_duration_ms\":60" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    const std::string body = "{\"task_spec\":\"" + std::to_string(runMs)
        + "\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":14000,\"memory_limit_mb\":64,\"estimated_ms\":"
        + std::to_string(runMs) + "}]}";
    std::uint64_t number = 0;
    std::vector<std::unique_ptr<Sent>> all;
    for (std::size_t i = 0; i < deployment.entryCount(); ++i) {
        auto& entry = deployment.entry(i);
        // Clients that have used their connections before and keep them open.
        std::vector<std::unique_ptr<Connection>> open;
        for (int c = 0; c < 70; ++c) {
            open.push_back(std::make_unique<Connection>(entry.clientPort));
            open.back()->send("GET", Deployment::prefix, Deployment::host, {}, 1000);
        }
        record.line("70 connections to " + entry.name + " are open");
        if (troubled())
            deployment.signal(entry, SIGTERM);
        const auto begunAt = nowMs();
        std::vector<Sent*> here;
        for (auto& connection : open) {
            if (nowMs() - begunAt > graceMs || (troubled() && deployment.ended(entry)))
                break;
            auto sent = std::make_unique<Sent>();
            sent->id = jobId(number++);
            sent->entry = entry.name;
            sent->at = nowMs();
            record.line("send POST " + sent->id + " at " + entry.name);
            sent->thread = std::thread([&record, &body, raw = sent.get(), connection = connection.get()] {
                raw->reply = connection->send(
                    "POST", Deployment::prefix + raw->id, Deployment::host, body, clientDeadlineMs);
                raw->answeredAt = nowMs();
                record.line("answer to POST " + raw->id + " at " + raw->entry + ": "
                    + std::to_string(raw->reply.status) + " " + raw->reply.body);
            });
            all.push_back(std::move(sent));
            sleepMs(requestIntervalMs);
        }
        for (auto& sent : all) {
            if (sent->thread.joinable())
                sent->thread.join();
        }
        if (troubled()) {
            const auto until = nowMs() + 3000;
            while (!deployment.ended(entry) && nowMs() < until)
                sleepMs(20);
            // roll_term: the machine starts again, and the next one is stopped after it.
            sleepMs(500);
            deployment.restart(entry);
        }
    }
    sleepMs(500);
    // LOST: around a SIGTERM of the machine that took the request, it has read a whole request and the connection ends
    // without a complete answer, once the request has been passed on to a worker.
    std::size_t lost = 0;
    for (const auto& sent : all) {
        if (sent->reply.status != 0 || sent->reply.timedOut)
            continue;
        const auto runs = deployment.ledger.runsOf(sent->id);
        if (runs.empty())
            continue;
        ++lost;
        const auto& run = runs.front();
        record.line("LOST: " + sent->id + " sent at " + std::to_string(sent->at) + " to " + sent->entry
            + ", passed on to " + run.worker + " at " + std::to_string(run.startedAt)
            + "; the connection ended without an answer at " + std::to_string(sent->answeredAt) + "; the run ended "
            + run.how + " at " + std::to_string(run.endedAt));
    }
    record.line("requests " + std::to_string(all.size()) + ", lost " + std::to_string(lost));
    return lost == 0;
}

} // namespace Review
