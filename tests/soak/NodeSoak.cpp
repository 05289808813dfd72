#include "../platform/Fleet.h"

#include <CLI/CLI.hpp>

#include <atomic>
#include <csignal>
#include <iostream>
#include <random>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

struct JobCounts {
    std::atomic<int> completed { 0 };
    std::atomic<int> unanswered { 0 };
};

// Submits jobs one after the other; like the operators' clients it repeats each until it has a final answer.
void runClient(const Fleet& fleet, int client, const std::atomic<bool>& stopping, JobCounts& jobs)
{
    for (int i = 0; !stopping; ++i) {
        auto digits = std::to_string(client * 100'000 + i + 1);
        const auto id = std::string(16 - digits.size(), '0') + digits;
        const auto answer = fleet.submitUntilAnswered(static_cast<std::size_t>(client + i) % fleet.entryCount(), id, 2);
        ++(answer.status == 200 ? jobs.completed : jobs.unanswered);
    }
}

// Injects one random fault and returns its description.
std::string injectFault(Fleet& fleet, std::mt19937& random, std::vector<std::size_t>& paused)
{
    const auto entry = random() % fleet.entryCount();
    const auto upstream = random() % fleet.upstreamCount();
    switch (random() % 9) {
    case 0:
        fleet.restart(entry);
        return "kill entry " + std::to_string(entry);
    case 1:
        fleet.entry(entry).signal(SIGSTOP);
        paused.push_back(entry);
        return "pause entry " + std::to_string(entry);
    case 2:
        for (const auto each : paused)
            fleet.entry(each).signal(SIGCONT);
        paused.clear();
        return "resume all entries";
    case 3:
        fleet.store().setOutage(true);
        return "store down";
    case 4:
        fleet.store().setOutage(false);
        return "store up";
    case 5:
        fleet.store().dropNextAnswers(1 + static_cast<int>(random() % 5));
        return "store loses answers";
    case 6:
        fleet.upstream(upstream).dropNextAnswers(2);
        return "upstream " + std::to_string(upstream) + " loses answers";
    case 7:
        fleet.upstream(upstream).delayStarts(2, 300 + static_cast<int>(random() % 2'000));
        return "upstream " + std::to_string(upstream) + " delays starts";
    default:
        fleet.entry(entry).signal(SIGTERM);
        if (!fleet.entry(entry).waitForExit(in(8s)))
            std::cout << "entry " << entry << " did not exit within 8 s of SIGTERM\n";
        fleet.restart(entry);
        return "graceful restart of entry " + std::to_string(entry);
    }
}

int soak(unsigned seed, int seconds)
{
    Fleet fleet({ .name = "soak-" + std::to_string(seed),
        .domains = { "valencia", "lantapan" },
        .entriesPerDomain = 2,
        .upstreamsPerDomain = 3,
        .runMs = 80 });
    if (!fleet.waitUntilReady()) {
        std::cout << "seed " << seed << ": the entries did not become ready\n";
        return 1;
    }
    std::mt19937 random(seed);
    std::atomic<bool> stopping { false };
    JobCounts jobs;
    std::vector<std::thread> clients;
    for (int client = 0; client < 6; ++client)
        clients.emplace_back([&, client] { runClient(fleet, client, stopping, jobs); });
    std::vector<std::size_t> paused;
    int faults = 0;
    const auto until = in(std::chrono::seconds(seconds));
    while (Balsammill::monotonicNow() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 1'200));
        std::cout << "fault: " << injectFault(fleet, random, paused) << std::endl;
        ++faults;
    }
    fleet.store().setOutage(false);
    for (const auto each : paused)
        fleet.entry(each).signal(SIGCONT);
    const int before = jobs.completed;
    const bool recovered = waitUntil(in(20s), [&] { return jobs.completed >= before + 12; });
    stopping = true;
    for (auto& client : clients)
        client.join();
    const auto violations = fleet.violations();
    std::cout << "seed " << seed << ": " << faults << " faults, " << jobs.completed << " jobs completed, "
              << jobs.unanswered << " without a final answer, " << fleet.starts() << " starts\n"
              << violations;
    return violations.empty() && recovered && jobs.unanswered == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Runs real entries under random faults and checks for violations and failed jobs" };
    unsigned seed = 1;
    int seconds = 30;
    app.add_option("--seed", seed, "Seed of the faults")->capture_default_str();
    app.add_option("--seconds", seconds, "How long faults are injected")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return soak(seed, seconds);
}
