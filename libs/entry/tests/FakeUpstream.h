#pragma once

#include "balsammill/entry/Dispatcher.h"
#include "balsammill/rpc/ConnectServer.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace Balsammill::Testing {

inline TimePoint inSeconds(int seconds) { return monotonicNow() + std::chrono::seconds(seconds); }

/// An upstream that counts the starts of each task, and can be told to delay its answers or to fail.
class FakeUpstream {
public:
    explicit FakeUpstream(std::string vm)
        : vm_(std::move(vm))
        , server_({ .listenAddress = NetworkAddress("127.0.0.1:0"),
              .handler = [this](const RpcRequest& request) { return handle(request); } })
    {
        server_.start();
    }

    ~FakeUpstream()
    {
        release();
        server_.stop();
    }
    FakeUpstream(const FakeUpstream&) = delete;
    FakeUpstream& operator=(const FakeUpstream&) = delete;

    ReachableUpstream reachable(std::uint32_t slots = 8) const
    {
        return { { .vm = VmName(vm_), .slots = Slots(slots) },
            NetworkAddress("127.0.0.1:" + std::to_string(server_.port())) };
    }

    void failWith(RpcErrorDetails error)
    {
        std::lock_guard lock(mutex_);
        error_ = std::move(error);
    }

    /// Blocks all further requests until release().
    void hold()
    {
        std::lock_guard lock(mutex_);
        held_ = true;
    }
    void release()
    {
        std::lock_guard lock(mutex_);
        held_ = false;
        changed_.notify_all();
    }
    bool waitUntilRunning(std::size_t count)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_until(lock, inSeconds(10), [&] { return running_ >= count; });
    }

    std::size_t startsOf(const std::string& taskName) const
    {
        std::lock_guard lock(mutex_);
        const auto found = starts_.find(taskName);
        return found == starts_.end() ? 0 : found->second;
    }
    std::size_t starts() const
    {
        std::lock_guard lock(mutex_);
        std::size_t sum = 0;
        for (const auto& [task, count] : starts_)
            sum += count;
        return sum;
    }
    std::size_t peakRunning() const
    {
        std::lock_guard lock(mutex_);
        return peakRunning_;
    }

private:
    RpcAnswer handle(const RpcRequest& request)
    {
        std::unique_lock lock(mutex_);
        ++starts_[request.taskId];
        peakRunning_ = std::max(peakRunning_, ++running_);
        changed_.notify_all();
        changed_.wait(lock, [this] { return !held_; });
        --running_;
        if (error_)
            throw RpcError(*error_);
        return { .encoding = request.encoding, .body = "answer to " + request.body };
    }

    std::string vm_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::size_t> starts_;
    std::size_t running_ { 0 };
    std::size_t peakRunning_ { 0 };
    bool held_ { false };
    std::optional<RpcErrorDetails> error_;
    ConnectServer server_;
};

/// Stores the results of tasks and counts the completions, by task name.
class Results {
public:
    DispatchCompletion collect(const std::string& name)
    {
        return [this, name](DispatchResult result) {
            std::lock_guard lock(mutex_);
            ++completions_[name];
            results_.insert_or_assign(name, std::move(result));
        };
    }
    std::size_t completionsOf(const std::string& name) const
    {
        std::lock_guard lock(mutex_);
        const auto found = completions_.find(name);
        return found == completions_.end() ? 0 : found->second;
    }
    std::string answerOf(const std::string& name) const
    {
        std::lock_guard lock(mutex_);
        const auto found = results_.find(name);
        const auto* answer = found == results_.end() ? nullptr : std::get_if<DispatchAnswer>(&found->second);
        return answer ? answer->answer : "no answer";
    }
    RpcErrorDetails errorOf(const std::string& name) const
    {
        std::lock_guard lock(mutex_);
        const auto found = results_.find(name);
        const auto* error = found == results_.end() ? nullptr : std::get_if<RpcErrorDetails>(&found->second);
        return error ? *error : RpcErrorDetails { .code = ErrorCode::Unknown, .message = "no error" };
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::size_t> completions_;
    std::map<std::string, DispatchResult> results_;
};

inline const ServiceName testService { "test.Service" };

inline DispatchTask callNamed(const std::string& name)
{
    return { .service = testService,
        .method = MethodName("test.Service/Call"),
        .clientAccount = ClientAccountName("default"),
        .taskName = name,
        .declaredRunTime = std::chrono::milliseconds(1),
        .deadline = inSeconds(20),
        .request = name };
}

} // namespace Balsammill::Testing
