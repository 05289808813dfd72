// Cases in which a client is told that its job has not run although a worker has started it.

#include "Cases.hh"
#include "Deployment.hh"

#include <csignal>
#include <mutex>
#include <thread>

namespace Review {

namespace {

struct Attempt {
    std::string id;
    Answer answer;
};

/// One planned stop of the owner while jobs whose first run has failed wait for their next one. Returns the number of
/// jobs that were refused although a worker had started a task of them; negative if the round could not run.
int refusedInOneStop(const CaseContext& context, int round)
{
    auto& record = context.record;
    constexpr std::size_t entries = 3;
    std::vector<Worker::Options> workers;
    for (int i = 0; i < 4; ++i)
        workers.push_back({ .id = "w-north-a" + std::to_string(i),
            .zone = "north",
            .labels = { "a", "r-north0" },
            .milliCores = 32'000 });
    Deployment deployment(record, context.program,
        { .zones = { { .name = "north", .entries = entries } },
            .workers = workers,
            .targetMs = 1700,
            .secondTargetMs = 0,
            .stretch = 4.0 });
    if (!deployment.waitUntilReady())
        return -1;
    std::this_thread::sleep_for(Ms(1000));
    const auto owner = deployment.ownerOf("north/0");
    if (owner >= entries)
        return -1;

    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> threads;
    const auto begin = Clock::now();
    std::size_t sent = 0;
    // Every job is sent once, to an entry that stays, and has one task on 20 of a worker's 32 cores: four run at a
    // time.
    const auto send = [&](int queue, const std::string& body, int deadlineMs) {
        const auto id = jobId(0x4000 + round * 0x100 + static_cast<int>(sent));
        const auto entry = (owner + 1 + sent++ % (entries - 1)) % entries;
        threads.emplace_back([&, queue, id, body, entry, deadlineMs] {
            const auto field = "X-Balsammill-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
            auto answer = deployment.post(entry, id, body, Ms(deadlineMs), field, queue);
            const std::lock_guard lock(mutex);
            attempts.push_back({ .id = id, .answer = std::move(answer) });
        });
    };
    // Four jobs whose first run fails by its own fault after 0.3 s. Their next run takes 0.25 s.
    for (int i = 0; i < 4; ++i)
        send(0, jobBody("250 20000 fails1", 1, 20'000, 400, {}, R"("best_effort":true,)"), 3700);
    // More urgent jobs of 0.5 s keep the workers busy; what has no room is refused.
    for (int i = 0; i < 66; ++i) {
        std::this_thread::sleep_until(begin + Ms(80 + 20 * i));
        send(1, jobBody("500 20000", 1, 20'000, 500, {}, R"("best_effort":true,)"), 4200);
    }
    std::this_thread::sleep_until(begin + Ms(2840));
    if (context.disrupted)
        deployment.signalEntry(owner, SIGTERM);
    for (auto& thread : threads)
        thread.join();
    int wrong = 0;
    int refused = 0;
    int completed = 0;
    for (const auto& each : attempts) {
        completed += each.answer.status == 200 ? 1 : 0;
        if (each.answer.status != 429 && each.answer.status != 503)
            continue;
        ++refused;
        const auto runs = record.runsOf(each.id);
        if (runs.empty())
            continue;
        ++wrong;
        record.line("job " + each.id + " was sent once and answered " + std::to_string(each.answer.status) + " "
            + each.answer.body + "; worker " + runs[0].worker + " started " + runs[0].task + " at "
            + std::to_string(runs[0].startedMs) + " ms");
    }
    record.line("round " + std::to_string(round) + ": " + std::to_string(attempts.size()) + " jobs, "
        + std::to_string(completed) + " completed, " + std::to_string(refused) + " refused, " + std::to_string(wrong)
        + " of these had been started");
    return completed == 0 ? -1 : wrong;
}

} // namespace

int refusedAlthoughStored(const CaseContext& context)
{
    auto& record = context.record;
    const std::vector<std::string> zones { "north", "south", "west" };
    constexpr std::size_t entriesPerZone = 3;
    std::vector<Worker::Options> workers;
    for (const auto& zone : zones) {
        for (int i = 0; i < 4; ++i)
            workers.push_back({ .id = "w-" + zone + "-a" + std::to_string(i),
                .zone = zone,
                .labels = { "a", "r-" + zone + "0" },
                .milliCores = 32'000 });
    }
    Deployment deployment(record, context.program,
        { .zones = { { .name = zones[0], .entries = entriesPerZone }, { .name = zones[1], .entries = entriesPerZone },
              { .name = zones[2], .entries = entriesPerZone } },
            .workers = workers,
            .targetMs = 2000,
            .secondTargetMs = 2000 });
    if (!deployment.waitUntilReady())
        return couldNotRun;
    std::this_thread::sleep_for(Ms(1000));

    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> threads;
    std::vector<bool> stopping(deployment.entries());
    // tx_ms 6 and 4 ms a read, times 60 for 4.5 s of each 8 s. In each such span two owners are stopped, 2 s apart.
    const Standin::StoreFaults sound { .writeDelay = Ms(6), .readDelay = Ms(4) };
    const Standin::StoreFaults slow { .writeDelay = Ms(360), .readDelay = Ms(240) };
    constexpr Ms roundLength { 8'000 };
    constexpr Ms slowFrom { 1'000 };
    constexpr Ms slowFor { 4'500 };
    constexpr Ms firstStop { 2'000 };
    constexpr Ms betweenStops { 2'000 };
    constexpr int rounds = 10;
    std::size_t sent = 0;
    std::size_t stops = 0;
    for (int round = 0; round < rounds; ++round) {
        const auto begin = Clock::now();
        bool isSlow = false;
        bool wasSlow = false;
        int stopsOfRound = 0;
        while (Clock::now() - begin < roundLength) {
            std::this_thread::sleep_for(Ms(25));
            const auto at = Clock::now() - begin;
            if (context.disrupted && !wasSlow && at >= slowFrom) {
                record.line("the store is slow");
                deployment.store().setFaults(slow);
                isSlow = wasSlow = true;
            }
            if (isSlow && at >= slowFrom + slowFor) {
                deployment.store().setFaults(sound);
                record.line("the store is as fast as before");
                isSlow = false;
            }
            for (std::size_t i = 0; i < stopping.size(); ++i) {
                if (stopping[i] && deployment.entryEnded(i)) {
                    deployment.startEntry(i);
                    stopping[i] = false;
                }
            }
            if (context.disrupted && stopsOfRound < 2 && at >= firstStop + stopsOfRound * betweenStops) {
                const auto owner = deployment.ownerOf(zones[stops++ % zones.size()] + "/0");
                ++stopsOfRound;
                if (owner < stopping.size() && !stopping[owner]) {
                    stopping[owner] = true;
                    deployment.signalEntry(owner, SIGTERM);
                }
            }
            // Every job is to be kept and is sent once, to an entry that is not being stopped.
            const auto id = jobId(0x6000 + static_cast<int>(sent));
            auto entry = sent++ % deployment.entries();
            while (stopping[entry])
                entry = (entry + 1) % deployment.entries();
            threads.emplace_back([&, id, entry] {
                auto answer = deployment.post(entry, id, jobBody("200 2000", 2, 2000, 200), Ms(6000));
                const std::lock_guard lock(mutex);
                attempts.push_back({ .id = id, .answer = std::move(answer) });
            });
        }
    }
    for (auto& thread : threads)
        thread.join();
    std::this_thread::sleep_for(Ms(3000));
    int wrong = 0;
    int refused = 0;
    int accepted = 0;
    for (const auto& each : attempts) {
        accepted += each.answer.status / 100 == 2 ? 1 : 0;
        if (each.answer.status != 429 && each.answer.status != 503)
            continue;
        ++refused;
        const auto runs = record.runsOf(each.id);
        if (runs.empty())
            continue;
        ++wrong;
        record.line("job " + each.id + " was sent once and answered " + std::to_string(each.answer.status) + " "
            + each.answer.body + "; worker " + runs[0].worker + " started " + runs[0].task + " at "
            + std::to_string(runs[0].startedMs) + " ms; its state is " + deployment.stateOf(each.id));
    }
    record.line(std::to_string(attempts.size()) + " jobs, " + std::to_string(accepted) + " accepted, "
        + std::to_string(refused) + " refused, " + std::to_string(wrong) + " of these were started");
    if (accepted == 0)
        return couldNotRun;
    return wrong > 0 ? broken : held;
}

int refusedAfterStart(const CaseContext& context)
{
    int wrong = 0;
    for (int round = 0; round < 4; ++round) {
        const int found = refusedInOneStop(context, round);
        if (found < 0)
            return couldNotRun;
        wrong += found;
    }
    return wrong > 0 ? broken : held;
}

} // namespace Review
