#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace Balsammill::Detail {

/// Lets one thread wait for a result that another thread delivers exactly once.
template <typename Result> class CompletionWaiter {
public:
    void complete(Result result)
    {
        std::lock_guard lock(mutex_);
        result_.emplace(std::move(result));
        // Notify while holding the lock: the waiting thread may destroy this object as soon as it acquires the mutex.
        condition_.notify_one();
    }

    Result wait()
    {
        std::unique_lock lock(mutex_);
        condition_.wait(lock, [this] { return result_.has_value(); });
        return std::move(*result_);
    }

private:
    std::mutex mutex_;
    std::condition_variable condition_;
    std::optional<Result> result_;
};

} // namespace Balsammill::Detail
