#include "ExecutorPool.h"

#include <algorithm>
#include <system_error>

namespace Balsammill::Detail {

namespace {

/// The pool whose action runs on this thread, and whether the thread has claimed its next action.
struct CurrentThread {
    const ExecutorPool* pool { nullptr };
    bool claimed { false };
};

thread_local CurrentThread currentThread;

} // namespace

ExecutorPool::ExecutorPool(std::size_t maxThreads)
    : maxThreads_(std::max<std::size_t>(1, maxThreads))
{
}

ExecutorPool::~ExecutorPool() { stop(); }

void ExecutorPool::post(Action action)
{
    std::lock_guard lock(mutex_);
    actions_.push_back(std::move(action));
    if (currentThread.pool == this && !currentThread.claimed) {
        // The current thread takes an action from the queue as soon as its own returns, which avoids waking another
        // thread.
        currentThread.claimed = true;
        ++availableThreads_;
        return;
    }
    if (availableThreads_ < actions_.size() && threads_.size() < maxThreads_ && !stopping_) {
        try {
            threads_.emplace_back([this] { run(); });
            ++availableThreads_;
        } catch (const std::system_error&) {
            // The existing threads run the action later; if there are none, it would never run.
            if (threads_.empty()) {
                actions_.pop_back();
                throw;
            }
        }
        return;
    }
    changed_.notify_one();
}

std::size_t ExecutorPool::threadCount() const
{
    std::lock_guard lock(mutex_);
    return threads_.size();
}

void ExecutorPool::run()
{
    std::unique_lock lock(mutex_);
    // post() already counted this thread as available.
    for (;;) {
        changed_.wait(lock, [this] { return !actions_.empty() || stopping_; });
        --availableThreads_;
        if (actions_.empty())
            return;
        auto action = std::move(actions_.front());
        actions_.pop_front();
        lock.unlock();
        currentThread = { this, false };
        action();
        action = nullptr;
        const bool claimed = currentThread.claimed;
        currentThread = {};
        lock.lock();
        if (!claimed)
            ++availableThreads_;
    }
}

void ExecutorPool::stop()
{
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
        threads.swap(threads_);
    }
    changed_.notify_all();
    for (auto& thread : threads)
        thread.join();
}

} // namespace Balsammill::Detail
