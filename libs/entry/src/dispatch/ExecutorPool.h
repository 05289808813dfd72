#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Balsammill::Detail {

/// Thread pool that runs actions in FIFO order. A thread is added whenever no thread is idle, up to a limit; beyond the
/// limit actions are queued.
class ExecutorPool {
public:
    using Action = std::function<void()>;

    explicit ExecutorPool(std::size_t maxThreads);
    ~ExecutorPool();

    ExecutorPool(const ExecutorPool&) = delete;
    ExecutorPool& operator=(const ExecutorPool&) = delete;

    /// May be called from an action. The first action posted that way is claimed by the calling thread, which takes its
    /// next action from the queue as soon as the current one returns.
    void post(Action);
    std::size_t threadCount() const;
    /// Runs the actions that are still queued, then joins the threads.
    void stop();

private:
    void run();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Action> actions_;
    std::vector<std::thread> threads_;
    std::size_t maxThreads_;
    /// Idle threads, and busy ones that have claimed the action they take next.
    std::size_t availableThreads_ { 0 };
    bool stopping_ { false };
};

} // namespace Balsammill::Detail
