#include "Cases.hh"

#include <algorithm>
#include <stdexcept>

namespace Review {

namespace {

constexpr int jobs = 20;
constexpr std::int64_t finishMs = 14'000;
constexpr std::int64_t idleMs = 3'000;

} // namespace

bool lostUpstreamOfHomeShard(Record& record)
{
    // Kinds as in the site: a, a, b. Labels name the kind and the rack.
    Deployment deployment(record,
        { .zones = { "malaybalay", "valencia", "lantapan", "impasugong" },
            .entriesPerZone = 2,
            .workersPerZone = { { "a", "r1-1" }, { "a", "r1-1" }, { "b", "r1-1" } },
            .routeFields = "\"priority\":1,\"max_attempts\":4,\"stretch\":2.0,\"target_duration_ms\":20000" });
    if (!deployment.start())
        throw std::runtime_error("the entries did not become ready");
    const std::string body = "{\"task_spec\":\"900\",\"steps\":[{\"count\":2,\"cpu\":14000,\"memory_limit_mb\":64,"
                             "\"estimated_ms\":900},{\"count\":2,\"cpu\":14000,\"memory_limit_mb\":64,"
                             "\"estimated_ms\":900,\"requirements\":\"b\",\"after\":[0]}]}";
    std::vector<std::string> accepted;
    for (int i = 0; i < jobs; ++i) {
        const auto id = jobId(static_cast<std::uint64_t>(i));
        if (deployment.request(static_cast<std::size_t>(i) % deployment.entryCount(), "POST", id, body, 3000).status
            == 200)
            accepted.push_back(id);
    }
    record.line(std::to_string(accepted.size()) + " jobs are accepted");
    if (accepted.size() < jobs / 2)
        throw std::runtime_error("too few jobs were accepted");
    sleepMs(500);
    if (troubled()) {
        // One worker of twelve.
        record.line("worker " + deployment.workers[2]->options().id + " is lost for good");
        deployment.workers[2]->crash();
    }
    const auto completed = [&](const std::string& id) {
        for (std::size_t entry = 0; entry < deployment.entryCount(); ++entry) {
            const auto reply = call(
                deployment.entry(entry).clientPort, "GET", Deployment::prefix + id, Deployment::host, {}, 2000);
            if (reply.status == 200)
                return reply.body.find("completed") != std::string::npos;
        }
        return false;
    };
    // The last job was sent before; finish_s after the end of the traffic jobs are asked for.
    const auto until = nowMs() + finishMs + 6'000;
    std::vector<std::string> open = accepted;
    while (nowMs() < until) {
        sleepMs(500);
        std::erase_if(open, completed);
        if (open.empty())
            break;
    }
    for (const auto& id : open)
        deployment.request(1, "GET", id, {}, 2000);
    record.line(std::to_string(open.size()) + " jobs are not completed");
    // For 3 s: a job has nothing running while a task's turn has come, there is capacity for it twice over, and under
    // half of the service's capacity is in use.
    std::int64_t quietSince = nowMs();
    while (!open.empty() && nowMs() - quietSince < idleMs) {
        std::size_t running = 0;
        for (const auto& worker : deployment.workers)
            running += worker->alive() ? worker->running() : 0;
        if (running > 0)
            quietSince = nowMs();
        if (nowMs() - until > 30'000)
            break;
        sleepMs(20);
    }
    const bool idle = nowMs() - quietSince >= idleMs;
    std::erase_if(open, completed);
    if (!open.empty() && idle)
        record.line("LOST: no worker ran anything for " + std::to_string(idleMs) + " ms, three workers of kind b are up; "
            + std::to_string(open.size()) + " accepted jobs wait, first " + open.front());
    return open.empty() || !idle;
}

} // namespace Review
