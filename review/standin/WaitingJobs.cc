// Cases in which an accepted job that is to be kept never runs although a worker could run it.

#include "Cases.hh"
#include "Deployment.hh"

#include <algorithm>
#include <csignal>
#include <thread>

namespace Review {

namespace {

// finish_s of the sheet, and the span of RULES.md, LOST: "for 3 s, a job has nothing running".
constexpr Ms finish { 14'000 };
constexpr Ms idleSpan { 3'000 };
// contact_ms and a second more: the calm before the span at any time of the day (4 s).
constexpr Ms calm { 4'000 };
constexpr Ms clientTimeout { 5'000 };

std::vector<Worker::Options> workersOf(const std::string& zone, int kindA, int kindB)
{
    std::vector<Worker::Options> workers;
    for (int i = 0; i < kindA + kindB; ++i) {
        const std::string kind = i < kindA ? "a" : "b";
        workers.push_back({ .id = "w-" + zone + "-" + kind + std::to_string(i),
            .zone = zone,
            .labels = { kind, "r-" + zone + std::to_string(i / 6) },
            .milliCores = 32'000 });
    }
    return workers;
}

bool runsDuring(const std::vector<RunSeen>& runs, std::int64_t fromMs, std::int64_t toMs)
{
    return std::any_of(runs.begin(), runs.end(),
        [&](const RunSeen& run) { return run.startedMs < toMs && (run.endedMs < 0 || run.endedMs > fromMs); });
}

/// Work and capacity of the whole service, and the worker that could run the tasks, throughout a span.
struct Load {
    int most { 0 };
    int capacity { 0 };
    int freeOnTarget { 0 };
};

Load watch(Deployment& deployment, const std::vector<Worker::Options>& workers, const std::string& lost,
    const std::string& target, Ms span)
{
    Load load { .most = 0, .capacity = 0, .freeOnTarget = 1 << 30 };
    for (const auto& each : workers)
        load.capacity += each.id == lost ? 0 : each.milliCores;
    const auto until = Clock::now() + span;
    while (Clock::now() < until) {
        int used = 0;
        for (const auto& each : workers) {
            if (each.id == lost)
                continue;
            const int own = deployment.worker(each.id).milliCoresInUse();
            used += own;
            if (each.id == target)
                load.freeOnTarget = std::min(load.freeOnTarget, each.milliCores - own);
        }
        load.most = std::max(load.most, used);
        std::this_thread::sleep_for(Ms(50));
    }
    return load;
}

} // namespace

int homeShardWithoutWorker(const CaseContext& context)
{
    auto& record = context.record;
    auto workers = workersOf("north", 3, 1);
    const auto others = workersOf("south", 3, 1);
    workers.insert(workers.end(), others.begin(), others.end());
    const std::string lost = "w-north-b3";
    const std::string target = "w-south-b3";
    Deployment deployment(record, context.program,
        { .zones = { { .name = "north", .entries = 2 }, { .name = "south", .entries = 2 } }, .workers = workers });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));
    // Twelve jobs of one task for workers of kind b: 6 s on 4 of a worker's 32 cores.
    constexpr int jobs = 12;
    constexpr int cpu = 4000;
    std::vector<std::string> accepted;
    for (int i = 0; i < jobs; ++i) {
        const auto id = jobId(0x1000 + i);
        const auto body = jobBody("6000 4000", 1, cpu, 6000, R"(,"requirements":"b")");
        for (std::size_t attempt = 0; attempt < 5; ++attempt) {
            const auto answer = deployment.post((static_cast<std::size_t>(i) + attempt) % 4, id, body, clientTimeout);
            if (answer.status / 100 == 2) {
                accepted.push_back(id);
                break;
            }
            std::this_thread::sleep_for(Ms(300));
        }
    }
    if (accepted.size() < 6)
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1500));
    if (context.disrupted)
        deployment.worker(lost).loseForGood();
    // The traffic ends here. The last run needs 6 s; then finish_s.
    std::this_thread::sleep_for(Ms(6500) + finish);
    const auto fromMs = record.nowMs();
    const auto load = watch(deployment, workers, context.disrupted ? lost : "", target, idleSpan);
    const auto toMs = record.nowMs();
    record.line("in the last 3 s: at most " + std::to_string(load.most) + " of " + std::to_string(load.capacity)
        + " thousandths of a core in use, at least " + std::to_string(load.freeOnTarget) + " free on " + target);
    int stuck = 0;
    for (const auto& id : accepted) {
        const auto state = deployment.stateOf(id);
        if (state == "completed" || runsDuring(record.runsOf(id), fromMs, toMs))
            continue;
        record.line("job " + id + " is " + state + ", and nothing of it ran for 3 s");
        ++stuck;
    }
    record.line(std::to_string(stuck) + " of " + std::to_string(accepted.size()) + " accepted jobs stand still");
    const bool capacity = load.freeOnTarget >= 2 * cpu && load.most * 2 < load.capacity;
    return stuck > 0 && capacity ? broken : held;
}

int zoneWithoutEntries(const CaseContext& context)
{
    auto& record = context.record;
    const std::vector<std::string> zones { "north", "south", "west" };
    std::vector<Worker::Options> workers;
    for (const auto& zone : zones) {
        const auto own = workersOf(zone, 4, 0);
        workers.insert(workers.end(), own.begin(), own.end());
    }
    Deployment deployment(record, context.program,
        { .zones = { { .name = zones[0], .entries = 2 }, { .name = zones[1], .entries = 2 },
              { .name = zones[2], .entries = 2 } },
            .workers = workers });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));
    constexpr int jobs = 18;
    constexpr int cpu = 2000;
    std::vector<std::string> accepted;
    // All are sent to entries of the zones that stay.
    for (int i = 0; i < jobs; ++i) {
        const auto id = jobId(0x5000 + i);
        for (std::size_t attempt = 0; attempt < 5; ++attempt) {
            const auto answer = deployment.post(
                2 + (static_cast<std::size_t>(i) + attempt) % 4, id, jobBody("3000 2000", 1, cpu, 3000), clientTimeout);
            if (answer.status / 100 == 2) {
                accepted.push_back(id);
                break;
            }
            std::this_thread::sleep_for(Ms(300));
        }
    }
    if (accepted.size() < 9)
        return couldNotRun;
    std::this_thread::sleep_for(Ms(500));
    if (context.disrupted) {
        record.line("the machines of the zone north are lost for good; its workers stay");
        deployment.signalEntry(0, SIGKILL);
        deployment.signalEntry(1, SIGKILL);
    }
    // The traffic ends here. The last run needs 3 s; then finish_s.
    std::this_thread::sleep_for(Ms(4000) + finish);
    const auto fromMs = record.nowMs();
    const auto load = watch(deployment, workers, "", workers[0].id, idleSpan);
    const auto toMs = record.nowMs();
    record.line("in the last 3 s: at most " + std::to_string(load.most) + " of " + std::to_string(load.capacity)
        + " thousandths of a core in use, at least " + std::to_string(load.freeOnTarget) + " free on " + workers[0].id);
    int unanswered = 0;
    int stuck = 0;
    for (const auto& id : accepted) {
        const auto state = deployment.stateOf(id);
        if (state == "completed")
            continue;
        const bool runs = runsDuring(record.runsOf(id), fromMs, toMs);
        if (state.size() == 3)
            ++unanswered;
        if (!runs)
            ++stuck;
        record.line("job " + id + ": state " + state + (runs ? "" : ", and nothing of it ran for 3 s"));
    }
    record.line("of " + std::to_string(accepted.size()) + " accepted jobs, the state of " + std::to_string(unanswered)
        + " is not given by any entry, and " + std::to_string(stuck) + " that are not completed stand still");
    const bool capacity = load.freeOnTarget >= 2 * cpu && load.most * 2 < load.capacity;
    return unanswered > 0 || (stuck > 0 && capacity) ? broken : held;
}

int probationWithoutEnd(const CaseContext& context)
{
    auto& record = context.record;
    const auto workers = workersOf("north", 11, 1);
    const std::string target = "w-north-b11";
    Deployment deployment(
        record, context.program, { .zones = { { .name = "north", .entries = 2 } }, .workers = workers });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));
    if (context.disrupted)
        deployment.worker(target).beUnhealthy(2, 5);
    const auto id = jobId(0x2000);
    constexpr int tasks = 5;
    constexpr int cpu = 2000;
    const auto answer = deployment.post(0, id,
        jobBody("0 2000 lasts", tasks, cpu, 1000, R"(,"requirements":"b")", R"("long_running":true,)"), clientTimeout);
    if (answer.status / 100 != 2)
        return couldNotRun;
    std::this_thread::sleep_for(Ms(6500));
    if (context.disrupted)
        deployment.worker(target).beUnhealthy(0, 0);
    // Calm, and far more than 6 s after the last run of a task that does not run.
    std::this_thread::sleep_for(calm + Ms(8000));
    const auto fromMs = record.nowMs();
    const auto load = watch(deployment, workers, "", target, idleSpan);
    const auto toMs = record.nowMs();
    record.line("in the last 3 s: at most " + std::to_string(load.most) + " of " + std::to_string(load.capacity)
        + " thousandths of a core in use, at least " + std::to_string(load.freeOnTarget) + " free on " + target);
    int stuck = 0;
    for (int i = 0; i < tasks; ++i) {
        const auto task = id + ".0.0." + std::to_string(i);
        auto runs = record.runsOf(id);
        std::erase_if(runs, [&](const RunSeen& run) { return run.task != task; });
        if (runsDuring(runs, fromMs, toMs))
            continue;
        record.line("task " + task + " that lasts did not run for 3 s; it was started " + std::to_string(runs.size())
            + " times");
        ++stuck;
    }
    record.line("job " + id + " is " + deployment.stateOf(id));
    const bool capacity = load.freeOnTarget >= 2 * cpu && load.most * 2 < load.capacity;
    return stuck > 0 && capacity ? broken : held;
}

int countWithoutRefusedStart(const CaseContext& context)
{
    auto& record = context.record;
    const auto workers = workersOf("north", 11, 1);
    const std::string target = "w-north-b11";
    Deployment deployment(record, context.program,
        { .zones = { { .name = "north", .entries = 2 } }, .workers = workers, .targetMs = 2000 });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));
    const auto id = jobId(0x7000);
    const auto filling = jobId(0x7001);
    if (context.disrupted)
        deployment.worker(target).beUnhealthy(2, 5);
    const auto answer
        = deployment.post(0, id, jobBody("300 4000", 1, 4000, 300, R"(,"requirements":"b")"), clientTimeout);
    std::this_thread::sleep_for(Ms(200));
    // Takes the whole worker as soon as it is used again.
    const auto second = deployment.post(1, filling,
        jobBody("0 32000 lasts", 1, 32'000, 1000, R"(,"requirements":"b")", R"("long_running":true,)"), clientTimeout);
    std::this_thread::sleep_for(Ms(6300));
    if (context.disrupted)
        deployment.worker(target).beUnhealthy(0, 0);
    // visible_ms 3,000 and 2 s, and calm.
    std::this_thread::sleep_for(Ms(8000));
    const auto waiting = deployment.request(1, "GET", "/lohu930/", {}, Ms(2000));
    const bool begun = !record.runsOf(id).empty();
    record.line("job " + id + " was answered " + std::to_string(answer.status) + ", has "
        + (begun ? "begun" : "not begun") + "; the entry says " + std::to_string(waiting.status) + " " + waiting.body);
    if (answer.status / 100 != 2 || second.status / 100 != 2 || waiting.status != 200)
        return couldNotRun;
    return !begun && waiting.body.find("\"waiting\":0") != std::string::npos ? broken : held;
}

int reservationWithoutEnd(const CaseContext& context)
{
    auto& record = context.record;
    const auto workers = workersOf("north", 12, 2);
    Deployment deployment(
        record, context.program, { .zones = { { .name = "north", .entries = 2 } }, .workers = workers });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));
    // Two jobs that last, each of 20 of the 32 cores of a worker of kind b: one a worker.
    const std::vector<std::string> lasting { jobId(0x3000), jobId(0x3001) };
    for (const auto& id : lasting) {
        const auto answer = deployment.post(0, id,
            jobBody("0 20000 lasts", 1, 20'000, 1000, R"(,"requirements":"b")", R"("long_running":true,)"),
            clientTimeout);
        if (answer.status / 100 != 2)
            return couldNotRun;
        std::this_thread::sleep_for(Ms(500));
    }
    const auto first = record.runsOf(lasting[0]);
    const auto second = record.runsOf(lasting[1]);
    if (first.size() != 1 || second.size() != 1 || first[0].worker == second[0].worker)
        return couldNotRun;
    const auto lost = second[0].worker;
    const auto target = first[0].worker;
    if (context.disrupted)
        deployment.worker(lost).loseForGood();
    std::this_thread::sleep_for(Ms(6000));
    constexpr int jobs = 6;
    constexpr int cpu = 2000;
    std::vector<std::string> accepted;
    for (int i = 0; i < jobs; ++i) {
        const auto id = jobId(0x3100 + i);
        const auto answer = deployment.post(static_cast<std::size_t>(i) % 2, id,
            jobBody("300 2000", 1, cpu, 300, R"(,"requirements":"b")"), clientTimeout);
        if (answer.status / 100 == 2)
            accepted.push_back(id);
    }
    if (accepted.empty())
        return couldNotRun;
    std::this_thread::sleep_for(finish);
    const auto fromMs = record.nowMs();
    const auto load = watch(deployment, workers, context.disrupted ? lost : "", target, idleSpan);
    const auto toMs = record.nowMs();
    record.line("in the last 3 s: at most " + std::to_string(load.most) + " of " + std::to_string(load.capacity)
        + " thousandths of a core in use, at least " + std::to_string(load.freeOnTarget) + " free on " + target);
    int stuck = 0;
    for (const auto& id : accepted) {
        const auto state = deployment.stateOf(id);
        if (state == "completed" || runsDuring(record.runsOf(id), fromMs, toMs))
            continue;
        record.line("job " + id + " is " + state + ", and nothing of it ran for 3 s");
        ++stuck;
    }
    record.line(std::to_string(stuck) + " of " + std::to_string(accepted.size()) + " accepted jobs stand still");
    const bool capacity = load.freeOnTarget >= 2 * cpu && load.most * 2 < load.capacity;
    return stuck > 0 && capacity ? broken : held;
}

} // namespace Review
