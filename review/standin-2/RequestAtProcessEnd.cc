#include "Cases.hh"

#include <csignal>
#include <random>
#include <stdexcept>

namespace Review {

namespace {

constexpr std::int64_t clientDeadlineMs = 1'500;
constexpr std::size_t connectionsPerEntry = 150;
// The requests come at random, 10 to 35 ms apart, from shortly before an entry may end.
constexpr int minIntervalMs = 10;
constexpr int maxIntervalMs = 35;
constexpr std::int64_t firstRequestAfterMs = 2'300;
// grace_s and 1 s
constexpr std::int64_t plannedForMs = 7'000;
constexpr std::int64_t gapMs = 500;
constexpr std::size_t rounds = 3;

struct Sent {
    std::string id;
    std::string entry;
    std::int64_t at { 0 };
    Reply reply;
    std::int64_t endedAt { 0 };
    std::thread thread;
};

} // namespace

bool requestAtProcessEnd(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":5000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    const std::string body = "{\"task_spec\":\"50\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memory_limit_mb\":64,"
                             "\"estimated_ms\":50}]}";
    std::uint64_t number = 0;
    // Each shard has stored a job before.
    for (; number < 40; ++number)
        deployment.request(number % deployment.entryCount(), "POST", jobId(number), body, clientDeadlineMs);
    std::vector<std::unique_ptr<Sent>> all;
    std::mt19937 random;
    std::uniform_int_distribution<int> interval(minIntervalMs, maxIntervalMs);
    for (std::size_t i = 0; i < rounds * deployment.entryCount(); ++i) {
        auto& entry = deployment.entry(i % deployment.entryCount());
        // Clients that have used their connections before and keep them open.
        std::vector<std::unique_ptr<Connection>> open;
        for (std::size_t c = 0; c < connectionsPerEntry; ++c) {
            open.push_back(std::make_unique<Connection>(entry.clientPort));
            open.back()->send("GET", Deployment::prefix, Deployment::host, {}, 1000);
        }
        record.line(std::to_string(open.size()) + " connections to " + entry.name + " are open");
        const auto begunAt = nowMs();
        if (troubled())
            deployment.signal(entry, SIGTERM);
        sleepMs(firstRequestAfterMs);
        for (auto& connection : open) {
            if (nowMs() - begunAt > plannedForMs || deployment.ended(entry))
                break;
            auto sent = std::make_unique<Sent>();
            sent->id = jobId(number++);
            sent->entry = entry.name;
            sent->at = nowMs();
            sent->thread = std::thread([&record, &body, raw = sent.get(), connection = connection.get()] {
                record.line("send POST " + raw->id + " at " + raw->entry);
                raw->reply = connection->send(
                    "POST", Deployment::prefix + raw->id, Deployment::host, body, clientDeadlineMs);
                raw->endedAt = nowMs();
                record.line("answer to POST " + raw->id + " at " + raw->entry + ": "
                    + std::to_string(raw->reply.status) + " " + raw->reply.body);
            });
            all.push_back(std::move(sent));
            sleepMs(interval(random));
        }
        for (auto& sent : all) {
            if (sent->thread.joinable())
                sent->thread.join();
        }
        if (!troubled())
            continue;
        while (!deployment.ended(entry) && nowMs() < begunAt + plannedForMs)
            sleepMs(5);
        // roll_term: the machine starts again, and the next one is stopped after it.
        sleepMs(gapMs);
        if (!deployment.restart(entry))
            throw std::runtime_error("an entry did not become ready again");
    }
    sleepMs(500);
    // LOST: around a SIGTERM of the machine that took the request, it has read a whole request and the connection ends
    // without a complete answer, once the request has been passed on to a worker.
    std::size_t lost = 0;
    std::size_t answered = 0;
    for (const auto& sent : all) {
        answered += sent->reply.status != 0 ? 1 : 0;
        if (sent->reply.status != 0 || sent->reply.timedOut)
            continue;
        const auto runs = deployment.ledger.runsOf(sent->id);
        if (runs.empty() || runs.front().startedAt >= sent->endedAt)
            continue;
        ++lost;
        const auto& run = runs.front();
        record.line("LOST: " + sent->id + " sent at " + std::to_string(sent->at) + " to " + sent->entry
            + ", passed on to " + run.worker + " at " + std::to_string(run.startedAt)
            + "; the connection ended without an answer at " + std::to_string(sent->endedAt));
    }
    record.line("requests " + std::to_string(all.size()) + ", answered " + std::to_string(answered) + ", lost "
        + std::to_string(lost));
    return lost == 0;
}

} // namespace Review
