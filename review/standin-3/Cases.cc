#include "World.hh"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

using namespace Review;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

std::string recordPath;
// Never destroyed: the program ends without waiting for timers and connections of the stand-ins.
World* currentWorld = nullptr;

World& makeWorld(const WorldOptions& options)
{
    currentWorld = new World(recordPath, options);
    return *currentWorld;
}

// Watches the jobs for some seconds and returns, for each, the longest time on end in which it had nothing running
// while there was capacity for it twice over and under half of the service's capacity was in use.
std::map<std::string, double> watch(World& world, const std::vector<std::string>& jobs, int needCpu, int seconds)
{
    std::map<std::string, std::int64_t> idleSince;
    std::map<std::string, double> longest;
    for (const auto& id : jobs)
        idleSince[id] = nowMs();
    const auto until = nowMs() + seconds * 1000;
    while (nowMs() < until) {
        const auto [used, all] = world.usage();
        for (const auto& id : jobs) {
            const bool room = all - used >= 2 * needCpu && used * 2 < all;
            if (world.isRunning(id) || !room)
                idleSince[id] = nowMs();
            longest[id] = std::max(longest[id], static_cast<double>(nowMs() - idleSince[id]) / 1000);
        }
        sleepMs(50);
    }
    return longest;
}

std::string stateIn(const Answer& answer)
{
    if (answer.status != 200)
        return "status " + std::to_string(answer.status);
    const auto at = answer.body.find("\"state\":\"");
    return at == std::string::npos ? answer.body : answer.body.substr(at + 9, answer.body.find('"', at + 9) - at - 9);
}

int report(World& world, const std::vector<std::string>& found)
{
    for (const auto& each : found)
        world.record.line("BROKEN " + each);
    world.record.line(found.empty() ? "the rule held" : "the rule was broken");
    return found.empty() ? held : broken;
}

int wideJobs()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    const int count = withTrouble() ? 12 : 6;
    const auto size = std::to_string(count);
    const auto gang = jobId(200);
    const auto lasting = jobId(201);
    // Tasks with 14 cores each on workers with 32 cores each, 4 of them in each zone: 8 such tasks fit in a zone.
    if (!world.submit(gang,
            R"({"task_spec":"0:ms=1000,cpu=14000,gang=)" + size + R"(","steps":[{"count":)" + size
                + R"(,"cpu":14000,"memory_limit_mb":64,"estimated_ms":1000,"gang":true}]})"))
        return couldNotRun;
    const auto idle = watch(world, { gang }, 14'000 * count, 20);
    std::vector<std::string> found;
    const auto state = stateIn(world.stateOf(gang));
    if (state != "completed" && idle.at(gang) > 3)
        found.push_back("LOST " + gang + " is " + state + ", had nothing running for " + std::to_string(idle.at(gang))
            + " s with room for it twice over");
    if (!world.submit(lasting,
            R"({"task_spec":"0:lasts=1,cpu=14000","steps":[{"count":)" + size
                + R"(,"cpu":14000,"memory_limit_mb":64,"estimated_ms":1000}],"long_running":true})"))
        return couldNotRun;
    sleepMs(15'000);
    const auto [used, all] = world.usage();
    world.record.line("in use " + std::to_string(used) + " of " + std::to_string(all));
    for (int i = 0; i < count; ++i) {
        const auto task = lasting + ".0.0." + std::to_string(i);
        const bool started = world.loop.run([&] { return world.tasks.started[task] > 0; });
        if (!started && used * 2 < all)
            found.push_back("LOST " + task + " of a job that lasts has not run in 15 s since its acceptance; "
                + std::to_string(used / 1000) + " of " + std::to_string(all / 1000) + " cores are in use");
    }
    return report(world, found);
}

int gangCheckpoints()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    std::vector<std::string> jobs;
    for (int i = 0; i < 3; ++i) {
        const auto id = jobId(static_cast<std::uint64_t>(300 + i));
        // One run of one member of one gang fails.
        const std::string fail = withTrouble() && i == 0 ? ",failms=1300" : "";
        if (!world.submit(id,
                R"({"task_spec":"0:ms=3000,cpu=12000,gang=4,checkpoints=1)" + fail
                    + R"(","steps":[{"count":4,"cpu":12000,"memory_limit_mb":64,"estimated_ms":3000,"gang":true,"checkpoints":true}]})"))
            return couldNotRun;
        jobs.push_back(id);
    }
    sleepMs(15'000);
    for (const auto& id : jobs)
        world.stateOf(id);
    std::vector<std::string> found;
    for (const auto& each : world.violations())
        if (each.starts_with("UNASKED"))
            found.push_back(each);
    return report(world, found);
}

int gangAntiAffinity()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    const std::string gang = withTrouble() ? R"(,"gang":true)" : "";
    const std::string size = withTrouble() ? ",gang=3" : "";
    for (int i = 0; i < 6; ++i) {
        if (!world.submit(jobId(static_cast<std::uint64_t>(400 + i)),
                R"({"task_spec":"0:ms=500,cpu=4000,anti=1)" + size
                    + R"(","steps":[{"count":3,"cpu":4000,"memory_limit_mb":64,"estimated_ms":500,"anti_affinity":1)"
                    + gang + "}]}"))
            return couldNotRun;
    }
    sleepMs(8'000);
    std::vector<std::string> found;
    for (const auto& each : world.violations())
        if (each.starts_with("ROUTE"))
            found.push_back(each);
    return report(world, found);
}

// A job with a schedule whose row in the store grows beyond row_bytes; other jobs of its shard are cancelled then.
int longSchedule()
{
    auto& world = makeWorld({});
    world.loop.run([&] { world.tasks.logTasks = false; });
    if (!world.waitUntilReady())
        return couldNotRun;
    std::vector<std::string> lasting;
    for (int i = 0; i < 24; ++i) {
        lasting.push_back(jobId(static_cast<std::uint64_t>(5000 + i)));
        if (!world.submit(lasting.back(),
                R"({"task_spec":"0:lasts=1,cpu=1000","steps":[{"count":1,"cpu":1000,"memory_limit_mb":64,"estimated_ms":1000}],"long_running":true})"))
            return couldNotRun;
    }
    // Runs each second, 10,000 times; this many occurrences are due already.
    const std::int64_t due = withTrouble() ? 9'500 : 3'000;
    const auto scheduled = jobId(510);
    if (!world.submit(scheduled,
            R"({"task_spec":"0:ms=50,cpu=500","steps":[{"count":1,"cpu":500,"memory_limit_mb":16,"estimated_ms":50}],"repeat_count":10000,"first_run_ms":)"
                + std::to_string(unixMs() - due * 1000) + R"(,"interval_ms":1000})"))
        return couldNotRun;
    const auto until = nowMs() + 40'000;
    while (nowMs() < until && world.startsOf(scheduled) < due)
        sleepMs(200);
    sleepMs(5'000);
    world.record.line("largest row " + std::to_string(world.loop.run([&] { return world.store->largestRow(); }))
        + " bytes; starts of the scheduled job " + std::to_string(world.startsOf(scheduled)));
    // ack_timeout_ms is 4,000: the cancels are sent at the same time, and each waits that long.
    std::vector<std::future<Answer>> cancels;
    for (std::size_t i = 0; i < lasting.size(); ++i)
        cancels.push_back(std::async(std::launch::async, [&, i] {
            const auto answer = call(
                world.entries[i % world.entries.size()]->frontPort(), "DELETE", "/lohu930/" + lasting[i], "", 4'000);
            world.record.line("DELETE " + lasting[i] + " -> " + std::to_string(answer.status) + " " + answer.body);
            return answer;
        }));
    const auto sentAt = nowMs();
    int unanswered = 0;
    for (auto& each : cancels)
        unanswered += each.get().status == 0 ? 1 : 0;
    // cancel_ms 3,000 and stop_grace_ms 50 later no task of a cancelled job may run.
    sleepMs(sentAt + 4'000 + 3'000 + 50 + 450 - nowMs());
    std::vector<std::string> found;
    for (const auto& id : lasting) {
        if (world.isRunning(id))
            found.push_back("UNASKED a task of " + id + " runs " + std::to_string((nowMs() - sentAt) / 1000.0)
                + " s after the cancel was sent");
    }
    if (unanswered > 0)
        found.push_back("Acks: " + std::to_string(unanswered) + " of " + std::to_string(lasting.size())
            + " cancels have no answer after ack_timeout_ms");
    for (int i = 0; i < 9; ++i)
        world.callSomeEntry("POST", "/lohu930/" + jobId(static_cast<std::uint64_t>(520 + i)),
            R"({"task_spec":"0:ms=20,cpu=50","steps":[{"count":1,"cpu":50,"memory_limit_mb":1,"estimated_ms":20}]})",
            1500);
    world.stateOf(scheduled);
    world.record.line("transactions refused for the size of a row: "
        + std::to_string(world.loop.run([&] { return world.store->refusedForSize(); })));
    return report(world, found);
}

// A stray writer overwrites the registration of one worker, which writes it again at its next heartbeat. Earlier, the
// answer to one start on that worker was lost.
int oddEntry()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    std::vector<std::string> lasting;
    for (int i = 0; i < 3; ++i) {
        lasting.push_back(jobId(static_cast<std::uint64_t>(600 + i)));
        if (!world.submit(lasting.back(),
                R"({"task_spec":"0:lasts=1,cpu=2000,anti=1","steps":[{"count":3,"cpu":2000,"memory_limit_mb":64,"estimated_ms":1000,"anti_affinity":1,"may_miss":1}],"long_running":true})"))
            return couldNotRun;
    }
    sleepMs(1'500);
    // In a zone with tasks that last, a worker that has none.
    const auto ends = [&] { return world.loop.run([&] { return world.tasks.lapsed; }); };
    Worker* idle = nullptr;
    for (const auto& worker : world.workers) {
        const auto& zone = worker->options().zone;
        const bool zoneLasts = world.loop.run([&] {
            return std::any_of(world.workers.begin(), world.workers.end(),
                [&](const auto& each) { return each->options().zone == zone && each->runs() > 0; });
        });
        if (zoneLasts && world.loop.run([&] { return worker->runs() == 0; }))
            idle = worker.get();
    }
    if (idle == nullptr)
        return couldNotRun;
    world.record.line("the worker is " + idle->options().id);
    world.loop.run([&] { idle->loseAnswers(1); });
    // Wide enough that every worker of each zone gets a task.
    for (int i = 0; i < 12; ++i) {
        if (!world.submit(jobId(static_cast<std::uint64_t>(610 + i)),
                R"({"task_spec":"0:ms=200,cpu=14000","steps":[{"count":8,"cpu":14000,"memory_limit_mb":64,"estimated_ms":200}]})"))
            return couldNotRun;
    }
    sleepMs(8'000);
    if (world.loop.run([&] { return idle->answersToLose(); }) > 0)
        return couldNotRun;
    const int before = ends();
    world.record.line("runs that have lapsed: " + std::to_string(before));
    if (withTrouble()) {
        world.record.line("another writer writes the entry of " + idle->options().id);
        world.loop.run([&] { world.store->put("servers", idle->options().id, R"({"service":7})"); });
    }
    sleepMs(8'000);
    std::vector<std::string> found;
    const auto away = world.loop.run([&] { return world.tasks.awayAtLapse; });
    for (const auto& id : lasting) {
        const auto most = away.find(id + ".0.0");
        if (most != away.end() && most->second >= 1)
            found.push_back("AVAIL a task of " + most->first + " lapses while " + std::to_string(most->second)
                + " others of its step are away; may_miss is 1");
    }
    return report(world, found);
}

// The machine that owns a zone's shard is removed for good, and a new one comes 2 s later at another address.
int removedOwner()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    const std::string zone = "valencia";
    std::vector<std::string> lasting;
    for (int i = 0; i < 9; ++i) {
        lasting.push_back(jobId(static_cast<std::uint64_t>(700 + i)));
        if (!world.submit(lasting.back(),
                R"({"task_spec":"0:lasts=1,cpu=2000","steps":[{"count":1,"cpu":2000,"memory_limit_mb":64,"estimated_ms":1000}],"long_running":true})"))
            return couldNotRun;
    }
    sleepMs(6'000);
    auto* owner = world.ownerOf(zone);
    if (owner == nullptr)
        return couldNotRun;
    const auto removedAt = nowMs();
    if (withTrouble()) {
        owner->signal(SIGKILL);
        owner->wait();
        world.record.line("the machine " + owner->name() + " is removed for good");
        sleepMs(2'000);
        world.addEntry(zone, "front-" + zone + "-4");
        world.record.line("a new machine front-" + zone + "-4 comes");
    }
    // For each task that lasts: when it last ran, and for how long it has not run since 6 s after that.
    std::map<std::string, std::int64_t> lastRan;
    std::map<std::string, std::int64_t> longestMs;
    for (const auto& id : lasting)
        lastRan[id] = removedAt;
    std::int64_t nextState = 0;
    while (nowMs() < removedAt + 30'000) {
        const auto [used, all] = world.usage();
        for (const auto& id : lasting) {
            if (world.isRunning(id) || used * 2 >= all)
                lastRan[id] = nowMs();
            longestMs[id] = std::max(longestMs[id], nowMs() - lastRan[id]);
        }
        if (nowMs() >= nextState) {
            for (const auto& id : lasting)
                world.stateOf(id, 400);
            nextState = nowMs() + 2'000;
        }
        sleepMs(20);
    }
    std::vector<std::string> found;
    for (const auto& id : lasting) {
        // From 6 s after its last run, for 3 s.
        if (longestMs[id] > 9'000)
            found.push_back("LOST the task of " + id + " did not run for " + std::to_string(longestMs[id])
                + " ms on end, with most of the service free");
    }
    return report(world, found);
}

// A repeated job; its owner is stopped and started as planned, later the owner is killed while a worker fails its runs.
int reusedRunNumber()
{
    auto& world = makeWorld({});
    if (!world.waitUntilReady())
        return couldNotRun;
    const std::vector<std::string> zones { "malaybalay", "valencia", "lantapan" };
    std::vector<std::string> jobs;
    for (int i = 0; i < 6; ++i) {
        jobs.push_back(jobId(static_cast<std::uint64_t>(800 + i)));
        if (!world.submit(jobs.back(),
                R"({"task_spec":"0:ms=900,cpu=3000","steps":[{"count":4,"cpu":3000,"memory_limit_mb":64,"estimated_ms":900}],"repeat_count":60,"first_run_ms":)"
                    + std::to_string(unixMs() + 1'000) + R"(,"interval_ms":500})"))
            return couldNotRun;
    }
    sleepMs(5'000);
    const std::string zone = "malaybalay";
    if (withTrouble()) {
        auto* first = world.ownerOf(zone);
        if (first == nullptr)
            return couldNotRun;
        world.record.line("SIGTERM for " + first->name() + ", the owner");
        first->signal(SIGTERM);
        first->wait();
        first->start();
        world.record.line(first->name() + " is started again");
        sleepMs(5'000);
        auto* second = world.ownerOf(zone);
        if (second == nullptr)
            return couldNotRun;
        Worker* grey = nullptr;
        for (const auto& worker : world.workers) {
            const bool busier = worker->options().zone == zone
                && world.loop.run([&] { return grey == nullptr || worker->runs() > grey->runs(); });
            if (busier)
                grey = worker.get();
        }
        world.record.line(grey->options().id + " fails what it runs");
        world.loop.run([&] { grey->setFailing(300); });
        world.record.line(second->name() + ", the owner, is killed");
        second->signal(SIGKILL);
        second->wait();
        sleepMs(500);
        second->start();
        sleepMs(5'000);
        world.loop.run([&] { grey->setFailing(0); });
        world.record.line(grey->options().id + " is sound again");
    }
    // The last occurrence is due 30 s after the first.
    sleepMs(withTrouble() ? 30'000 : 45'000);
    std::vector<std::string> found;
    std::vector<std::string> open;
    for (const auto& id : jobs) {
        if (stateIn(world.stateOf(id)) != "completed")
            open.push_back(id);
    }
    const auto idle = watch(world, open, 12'000, 15);
    for (const auto& id : open) {
        const auto state = stateIn(world.stateOf(id));
        if (state != "completed" && idle.at(id) > 3)
            found.push_back("LOST " + id + " is " + state + ", had nothing running for " + std::to_string(idle.at(id))
                + " s with room for it twice over");
    }
    // The next change of the owner starts the tasks again.
    if (withTrouble()) {
        if (auto* third = world.ownerOf(zone); third != nullptr) {
            world.record.line("SIGTERM for " + third->name() + ", the owner");
            third->signal(SIGTERM);
            third->wait();
            third->start();
        }
        sleepMs(10'000);
        for (const auto& id : open)
            world.stateOf(id);
    }
    for (const auto& each : world.violations()) {
        if (each.starts_with("TWICE"))
            found.push_back(each);
    }
    return report(world, found);
}

} // namespace

int main(int argc, char** argv)
{
    const std::map<std::string, int (*)()> cases {
        { "wide-jobs", wideJobs },
        { "gang-checkpoints", gangCheckpoints },
        { "gang-anti-affinity", gangAntiAffinity },
        { "long-schedule", longSchedule },
        { "odd-entry", oddEntry },
        { "reused-run-number", reusedRunNumber },
        { "removed-owner", removedOwner },
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: cases NAME RECORD\n");
        return couldNotRun;
    }
    recordPath = argv[2];
    int result = couldNotRun;
    try {
        result = found->second();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    if (currentWorld != nullptr)
        currentWorld->stop();
    std::_Exit(result);
}
