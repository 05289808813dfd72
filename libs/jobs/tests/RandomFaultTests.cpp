#include "LedgerWorld.h"

#include <doctest/doctest.h>

#include <random>

using namespace Balsammill;
using namespace Balsammill::Test;
using namespace std::chrono_literals;

namespace {

/// Callers resubmit an id no longer than this after its first submission.
constexpr Duration resubmissionLimit = 20s;

/// Three ledgers under random faults; every step lets some time pass and does one random thing.
class RandomRun {
public:
    explicit RandomRun(std::uint32_t seed)
        : random_(seed)
        , world_(3, [](JobLedgerOptions& options) {
            options.orphanTimeout = 3s;
            // Short, so that a run outlives it.
            options.role.historyRetention = resubmissionLimit;
            options.role.aloneConfirmLimit = 5s;
        })
    {
        world_.dropped = [this](const SentMessage&) { return below(100) < lossPercent_; };
        world_.held = [this](const SentMessage&) { return below(100) < delayPercent_; };
    }

    void step()
    {
        fault();
        submit();
        shuffle();
        world_.run(std::chrono::milliseconds(50 * (1 + below(12))));
        checkStarts();
    }

    void recover()
    {
        lossPercent_ = delayPercent_ = 0;
        world_.fault = TableFault::None;
        world_.applyLateWrites();
        for (std::size_t node = 0; node < 3; ++node) {
            world_.nodes[node].leaving = false;
            world_.partition(node, (node + 1) % 3, false);
            if (!world_.nodes[node].running)
                world_.restart(node);
            world_.resume(node);
        }
        world_.settlePair();
        world_.run(5s);
        checkStarts();
        checkVerdicts();
    }

    std::size_t startedJobs() const { return world_.started.size(); }

private:
    std::uint32_t below(std::uint32_t limit)
    {
        return std::uniform_int_distribution<std::uint32_t>(0, limit - 1)(random_);
    }

    void fault()
    {
        const std::size_t node = below(3);
        switch (below(16)) {
        case 0:
            if (world_.nodes[node].running && below(2) == 0)
                world_.stop(node);
            break;
        case 1:
        case 2:
            if (!world_.nodes[node].running)
                world_.restart(node);
            break;
        case 3:
            world_.pause(node);
            break;
        case 4:
        case 5:
            // Sometimes the process acts before its view is fresh again.
            if (below(2) == 0)
                world_.nodes[node].paused = false;
            else
                world_.resume(node);
            break;
        case 6:
            world_.fault = static_cast<TableFault>(below(5));
            break;
        case 7:
        case 8:
            world_.fault = TableFault::None;
            break;
        case 9:
            world_.partition(node, (node + 1) % 3, true);
            break;
        case 10:
        case 11:
            world_.partition(node, (node + 1) % 3, false);
            break;
        case 12:
            lossPercent_ = below(3) * 20;
            delayPercent_ = below(3) * 30;
            break;
        case 13:
            world_.applyLateWrites();
            break;
        case 14:
            world_.autoComplete = !world_.autoComplete;
            break;
        default:
            world_.nodes[node].leaving = below(4) == 0;
            world_.publishViews();
        }
    }

    void submit()
    {
        for (std::uint32_t count = below(4); count > 0; --count) {
            const std::size_t node = below(3);
            if (!world_.nodes[node].running || world_.nodes[node].paused)
                continue;
            // Recent ids are repeated often, older ones now and then.
            const auto newest = ++submissions_ / 4;
            const auto id = "job-" + std::to_string(below(3) == 0 ? below(newest + 1) : newest);
            const auto first = firstSubmissions_.try_emplace(id, world_.time.now).first->second;
            if (world_.time.now > first + resubmissionLimit)
                continue;
            waiters_.emplace_back(world_.submit(node, id), id);
            if (below(20) == 0)
                world_.cancel(node, id);
        }
    }

    void shuffle()
    {
        if (below(2) == 0)
            std::shuffle(world_.messages.begin(), world_.messages.end(), random_);
        if (!world_.messages.empty() && below(4) == 0)
            world_.messages.push_back(world_.messages[below(static_cast<std::uint32_t>(world_.messages.size()))]);
    }

    void checkStarts()
    {
        for (; checkedStarts_ < world_.started.size(); ++checkedStarts_) {
            const auto& id = world_.started[checkedStarts_].id;
            if (!startedIds_.insert(id).second)
                FAIL(id << " was started a second time");
        }
    }

    void checkVerdicts() const
    {
        for (const auto& [waiter, id] : waiters_) {
            if (world_.state(waiter) == balsammill::v1::JOB_STATE_COMPLETE && !startedIds_.contains(id))
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
    LedgerWorld world_;
};

} // namespace

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
    // Guards against a run in which the faults keep every job from starting.
    CHECK(started > 2000);
}
