#include "LoadRunner.h"

#include <algorithm>
#include <sys/prctl.h>

namespace Balsammill::Standin {

namespace {

/// Threads that are started in advance, so that calls seldom wait for the creation of a thread.
constexpr std::size_t initialThreadCount = 64;

} // namespace

ClassRunner::ClassRunner(const LoadClass& load, LoadCaller& caller, const Options& options)
    : load_(load)
    , caller_(caller)
    , method_(caller.methodOf(load))
    , options_(options)
    , arrivals_(load, options.length, options.seed)
{
}

void ClassRunner::run(TimePoint start)
{
    start_ = start;
    {
        std::lock_guard lock(mutex_);
        for (std::size_t i = 0; i < std::min(initialThreadCount, options_.maxInFlight); ++i)
            addThread();
    }
    std::unique_lock lock(mutex_);
    finished_.wait(lock, [this] { return noMoreArrivals_; });
    lock.unlock();
    // No thread is added any more: after the start only leaders add threads, and there is none once noMoreArrivals_ is
    // set.
    for (auto& thread : threads_)
        thread.join();
}

void ClassRunner::addThread()
{
    threads_.emplace_back([this] { runWorker(); });
}

void ClassRunner::runWorker()
{
    // The default timer slack of 50 us would be included in every response time.
    ::prctl(PR_SET_TIMERSLACK, 1000UL);
    std::unique_lock lock(mutex_);
    while (true) {
        ++idleThreads_;
        leadershipFree_.wait(lock, [this] { return !hasLeader_; });
        --idleThreads_;
        const auto arrival = noMoreArrivals_ ? std::nullopt : arrivals_.next();
        if (!arrival) {
            noMoreArrivals_ = true;
            leadershipFree_.notify_all();
            finished_.notify_all();
            return;
        }
        hasLeader_ = true;
        const auto number = nextCallNumber_++;
        lock.unlock();
        std::this_thread::sleep_until(start_ + *arrival);
        passLeadership();
        const auto sendDelay = monotonicNow() - start_ - *arrival;
        const auto result = sendDelay > sendDelayLimit
            ? CallResult { CallOutcome::NotSent, "max-in-flight was reached" }
            : caller_.call(load_, method_, number);
        record(*arrival, sendDelay, result);
        lock.lock();
    }
}

void ClassRunner::passLeadership()
{
    {
        std::lock_guard lock(mutex_);
        hasLeader_ = false;
        if (idleThreads_ == 0 && threads_.size() < options_.maxInFlight)
            addThread();
    }
    leadershipFree_.notify_one();
}

void ClassRunner::record(Duration arrival, Duration sendDelay, const CallResult& result)
{
    const auto response = monotonicNow() - start_ - arrival;
    std::lock_guard lock(resultMutex_);
    result_.samples.push_back({ .arrival = arrival, .response = response, .outcome = result.outcome });
    result_.maxSendDelay = std::max(result_.maxSendDelay, sendDelay);
    if (result.outcome != CallOutcome::Completed)
        ++result_.causes[std::string(nameOf(result.outcome)) + ": " + result.cause];
}

} // namespace Balsammill::Standin
