#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Balsammill::Detail {

/// Threads that run actions in order of arrival. A thread is added whenever an action finds none idle, up to a limit;
/// beyond it actions wait.
class ExecutorPool {
public:
    using Action = std::function<void()>;

    explicit ExecutorPool(std::size_t maxThreads);
    ~ExecutorPool();

    ExecutorPool(const ExecutorPool&) = delete;
    ExecutorPool& operator=(const ExecutorPool&) = delete;

    /// May be called from an action; its own thread then takes the first such action when it is done.
    void post(Action);
    std::size_t threadCount() const;
    /// Runs what was posted and ends the threads.
    void stop();

private:
    void run();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Action> actions_;
    std::vector<std::thread> threads_;
    std::size_t maxThreads_;
    /// Idle threads, and busy ones that have claimed the action they take next.
    std::size_t takers_ { 0 };
    bool stopping_ { false };
};

} // namespace Balsammill::Detail
