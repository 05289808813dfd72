#include "SimulatedCluster.h"

#include <doctest/doctest.h>

#include <random>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;

namespace {

/// Clients do not resubmit an id later than this after its first submission.
constexpr Duration resubmissionLimit = 20s;

/// Three ledgers under random faults. Each step injects a fault, submits some jobs, reorders messages and advances the
/// clock.
class RandomRun {
public:
    explicit RandomRun(std::uint32_t seed)
        : random_(seed)
        , cluster_(3, [](JobLedgerOptions& options) {
            options.orphanTimeout = 3s;
            // Short, so that records expire within a run.
            options.role.historyRetention = resubmissionLimit;
            options.role.unreplicatedConfirmTimeout = 5s;
        })
    {
        cluster_.dropped = [this](const SentMessage&) { return randomBelow(100) < lossPercent_; };
        cluster_.held = [this](const SentMessage&) { return randomBelow(100) < delayPercent_; };
    }

    void step()
    {
        fault();
        submit();
        shuffle();
        cluster_.run(std::chrono::milliseconds(50 * (1 + randomBelow(12))));
        checkStarts();
    }

    void recover()
    {
        lossPercent_ = delayPercent_ = 0;
        cluster_.fault = TableFault::None;
        cluster_.applyLateWrites();
        for (std::size_t node = 0; node < 3; ++node) {
            cluster_.nodes[node].leaving = false;
            cluster_.partition(node, (node + 1) % 3, false);
            if (!cluster_.nodes[node].running)
                cluster_.restart(node);
            cluster_.resume(node);
        }
        cluster_.waitForPair();
        cluster_.run(5s);
        checkStarts();
        checkCompletions();
    }

    std::size_t startedJobs() const { return cluster_.started.size(); }

private:
    std::uint32_t randomBelow(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
    }

    void fault()
    {
        const std::size_t node = randomBelow(3);
        switch (randomBelow(16)) {
        case 0:
            if (cluster_.nodes[node].running && randomBelow(2) == 0)
                cluster_.stop(node);
            break;
        case 1:
        case 2:
            if (!cluster_.nodes[node].running)
                cluster_.restart(node);
            break;
        case 3:
            cluster_.pause(node);
            break;
        case 4:
        case 5:
            // Sometimes the process acts on an outdated member view after the pause.
            if (randomBelow(2) == 0)
                cluster_.nodes[node].paused = false;
            else
                cluster_.resume(node);
            break;
        case 6:
            cluster_.fault = static_cast<TableFault>(randomBelow(5));
            break;
        case 7:
        case 8:
            cluster_.fault = TableFault::None;
            break;
        case 9:
            cluster_.partition(node, (node + 1) % 3, true);
            break;
        case 10:
        case 11:
            cluster_.partition(node, (node + 1) % 3, false);
            break;
        case 12:
            lossPercent_ = randomBelow(3) * 20;
            delayPercent_ = randomBelow(3) * 30;
            break;
        case 13:
            cluster_.applyLateWrites();
            break;
        case 14:
            cluster_.autoComplete = !cluster_.autoComplete;
            break;
        default:
            cluster_.nodes[node].leaving = randomBelow(4) == 0;
            cluster_.publishViews();
        }
    }

    void submit()
    {
        for (std::uint32_t count = randomBelow(4); count > 0; --count) {
            const std::size_t node = randomBelow(3);
            if (!cluster_.nodes[node].running || cluster_.nodes[node].paused)
                continue;
            // Submits the newest id most of the time and an older one otherwise.
            const auto newest = ++submissions_ / 4;
            const auto id = "job-" + std::to_string(randomBelow(3) == 0 ? randomBelow(newest + 1) : newest);
            const auto first = firstSubmissions_.try_emplace(id, cluster_.time.now).first->second;
            if (cluster_.time.now > first + resubmissionLimit)
                continue;
            waiters_.emplace_back(cluster_.submit(node, id), id);
            if (randomBelow(20) == 0)
                cluster_.cancel(node, id);
        }
    }

    void shuffle()
    {
        if (randomBelow(2) == 0)
            std::shuffle(cluster_.messages.begin(), cluster_.messages.end(), random_);
        if (!cluster_.messages.empty() && randomBelow(4) == 0)
            cluster_.messages.push_back(
                cluster_.messages[randomBelow(static_cast<std::uint32_t>(cluster_.messages.size()))]);
    }

    void checkStarts()
    {
        for (; checkedStarts_ < cluster_.started.size(); ++checkedStarts_) {
            const auto& id = cluster_.started[checkedStarts_].id;
            if (!startedIds_.insert(id).second)
                FAIL(id << " was started a second time");
        }
    }

    void checkCompletions() const
    {
        for (const auto& [waiter, id] : waiters_) {
            if (cluster_.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE && !startedIds_.contains(id))
                FAIL(id << " is complete but was never started");
        }
    }

    std::mt19937 random_;
    std::uint32_t lossPercent_ { 0 };
    std::uint32_t delayPercent_ { 0 };
    std::uint32_t submissions_ { 0 };
    std::map<std::string, TimePoint> firstSubmissions_;
    std::vector<std::pair<RequestId, std::string>> waiters_;
    std::size_t checkedStarts_ { 0 };
    std::set<std::string> startedIds_;
    SimulatedCluster cluster_;
};

} // namespace

// Guards against a second start through combinations of message loss, delay and duplication, pauses, restarts,
// partitions, handovers and table faults.
TEST_CASE("no job is started twice under random faults" * doctest::test_suite("[jobs]"))
{
    std::size_t started = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        RandomRun run(seed);
        for (int step = 0; step < 300; ++step) {
            CAPTURE(step);
            run.step();
        }
        run.recover();
        started += run.startedJobs();
    }
    // Fails if the faults kept most jobs from starting, because the check would then prove nothing.
    CHECK(started > 2000);
}
