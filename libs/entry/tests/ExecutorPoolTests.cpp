#include "dispatch/ExecutorPool.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>

using namespace Balsammill::Detail;
using namespace std::chrono_literals;

// Guards against actions that stay queued although the pool has not reached its limit; assigned slots would stay idle.
TEST_CASE("Each blocking action gets its own thread up to the limit, and all actions run")
{
    ExecutorPool pool(4);
    std::mutex mutex;
    std::condition_variable changed;
    int waiting = 0;
    bool open = false;
    std::atomic<int> done { 0 };
    for (int i = 0; i < 10; ++i) {
        pool.post([&] {
            std::unique_lock lock(mutex);
            ++waiting;
            changed.notify_all();
            changed.wait(lock, [&] { return open; });
            ++done;
        });
    }
    {
        std::unique_lock lock(mutex);
        CHECK(changed.wait_for(lock, 10s, [&] { return waiting == 4; }));
        CHECK(pool.threadCount() == 4);
        open = true;
        changed.notify_all();
    }
    pool.stop();
    CHECK(done == 10);
}

// Guards against an action that never runs because it was posted by another action.
TEST_CASE("Actions posted by other actions run on the existing threads")
{
    ExecutorPool pool(8);
    std::atomic<int> done { 0 };
    std::function<void(int)> chain = [&](int left) {
        ++done;
        if (left > 0)
            pool.post([&chain, left] { chain(left - 1); });
    };
    pool.post([&] { chain(1000); });
    const auto deadline = std::chrono::steady_clock::now() + 10s;
    while (done < 1001 && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(1ms);
    CHECK(done == 1001);
    CHECK(pool.threadCount() == 1);
    pool.post([&] {
        pool.post([&] { ++done; });
        pool.post([&] { ++done; });
    });
    pool.stop();
    CHECK(done == 1003);
}
