#include "Checker.h"
#include "FaultInjector.h"
#include "Workload.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>

using namespace FaultRun;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

void sampleVersions(Deployment& deployment, Records& records)
{
    for (auto& entry : deployment.entries()) {
        try {
            const auto state = deployment.state(entry);
            std::lock_guard lock(records.mutex);
            records.versions.push_back({ state.vm(), state.incarnation(), state.config_version() });
        } catch (const std::exception&) {
            // The entry is down or paused, so this sample leaves it out.
            continue;
        }
    }
}

// Waits until every entry is ready and all report the same configuration version, and records these versions.
bool waitUntilHealed(Deployment& deployment, Records& records)
{
    if (!deployment.waitUntilAllReady())
        return false;
    return waitUntil(in(20s), [&] {
        records.finalVersions.clear();
        for (auto& entry : deployment.entries())
            records.finalVersions[entry.vm] = deployment.state(entry).config_version();
        const auto first = records.finalVersions.begin()->second;
        return std::all_of(records.finalVersions.begin(), records.finalVersions.end(),
            [&](const auto& row) { return row.second == first; });
    });
}

void collectStarts(const Deployment& deployment, std::vector<Upstream>& upstreams, Records& records)
{
    for (const auto& upstream : upstreams) {
        deployment.setUpstreamMode(upstream, R"({"mode":"ok"})");
        for (const auto& start : readStarts(upstream.port))
            records.starts.push_back({ upstream.vm, start.taskId, start.startUs });
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::uint64_t seed = 1;
    int seconds = 60;
    CLI::App app { "Runs real processes under random faults and checks the guarantees P1 to P8" };
    app.add_option("--seed", seed, "Seed of the random workload and faults");
    app.add_option("--seconds", seconds, "Length of the run in seconds")->check(CLI::Range(1, 600));
    CLI11_PARSE(app, argc, argv);

    Deployment deployment({ .name = "fault-run-" + std::to_string(seed),
        .domains = { "malaybalay", "valencia", "lantapan" },
        .entriesPerDomain = 3,
        .upstreamsPerDomain = 3,
        .runMs = 30,
        .entryFlags = { "--job-orphan-timeout-ms", "5000" },
        .proxies = true });
    Records records;
    Workload workload({ .seed = seed }, deployment, records);
    FaultInjector injector(seed, deployment, records);
    workload.start();
    injector.start();
    const auto end = in(std::chrono::seconds(seconds));
    while (Balsammill::monotonicNow() < end) {
        sampleVersions(deployment, records);
        std::this_thread::sleep_for(1s);
    }
    injector.stop();
    workload.stop();
    const bool healed = waitUntilHealed(deployment, records);
    sampleVersions(deployment, records);
    collectStarts(deployment, deployment.upstreams(), records);

    auto violations = findViolations(records);
    if (!healed)
        violations.emplace_back(
            "P8: the entries did not reach the same configuration version within 20 s after healing");
    std::cout << "seed " << seed << ", " << seconds << " s\n"
              << summarize(records) << "violations: " << violations.size() << '\n';
    for (const auto& violation : violations)
        std::cout << "  " << violation << '\n';
    return violations.empty() ? 0 : 1;
}
