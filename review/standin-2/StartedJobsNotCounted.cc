#include "Cases.hh"

#include <algorithm>
#include <stdexcept>

namespace Review {

namespace {

constexpr int jobs = 40;
// visible_ms and 2 s
constexpr std::int64_t countedAfterMs = 5'000;

} // namespace

bool startedJobsNotCounted(Record& record)
{
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia", "lantapan", "impasugong" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" }, { "b", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":5000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    if (troubled()) {
        // One worker of twelve.
        record.line("worker " + deployment.workers[2]->options().id + " is lost for good");
        deployment.workers[2]->crash();
    }
    const std::string body = "{\"task_spec\":\"400\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memory_limit_mb\":64,"
                             "\"estimated_ms\":400,\"requirements\":\"b\"}]}";
    std::vector<std::string> accepted;
    std::mutex mutex;
    std::vector<std::thread> clients;
    for (int i = 0; i < jobs; ++i) {
        clients.emplace_back([&, i] {
            const auto id = jobId(static_cast<std::uint64_t>(i));
            const auto entry = static_cast<std::size_t>(i) % deployment.entryCount();
            if (deployment.request(entry, "POST", id, body, 3000).status != 200)
                return;
            const std::lock_guard lock(mutex);
            accepted.push_back(id);
        });
    }
    for (auto& client : clients)
        client.join();
    const auto acceptedAt = nowMs();
    record.line(std::to_string(accepted.size()) + " jobs are accepted");
    bool held = true;
    while (nowMs() < acceptedAt + countedAfterMs + 6'000) {
        sleepMs(1000);
        if (nowMs() < acceptedAt + countedAfterMs + 500)
            continue;
        const auto notBegun = std::count_if(accepted.begin(), accepted.end(),
            [&](const std::string& id) { return deployment.ledger.runsOf(id).empty(); });
        for (std::size_t entry = 0; entry < deployment.entryCount(); ++entry) {
            const auto reply = deployment.request(entry, "GET", "", {}, 2000);
            const auto colon = reply.body.find(':');
            if (reply.status != 200 || colon == std::string::npos)
                continue;
            const auto waiting = std::stol(reply.body.substr(colon + 1));
            if (waiting * 2 >= notBegun)
                continue;
            held = false;
            record.line("MIXED: " + deployment.entry(entry).name + " gives " + std::to_string(waiting)
                + " waiting jobs; not begun on any worker, accepted " + std::to_string(nowMs() - acceptedAt)
                + " ms ago or earlier: " + std::to_string(notBegun));
        }
    }
    for (const auto& id : accepted) {
        if (deployment.ledger.runsOf(id).empty())
            deployment.request(1, "GET", id, {}, 2000);
    }
    return held;
}

} // namespace Review
