#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

namespace Standin {

/// Runs an event loop on its own thread. All stand-ins of a test share one, so that they need no locks.
class LoopThread {
public:
    LoopThread()
        : work_(boost::asio::make_work_guard(loop_))
        , thread_([this] { loop_.run(); })
    {
    }
    ~LoopThread()
    {
        work_.reset();
        loop_.stop();
        thread_.join();
    }
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

    boost::asio::io_context& context() { return loop_; }

    /// Runs the function on the loop thread, waits for it and returns its result.
    template <typename Function> auto run(Function function)
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        boost::asio::post(loop_, [&task] { task(); });
        return result.get();
    }

private:
    boost::asio::io_context loop_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace Standin
