// CLOCK_MONOTONIC does not count the suspensions that the test has announced, as on a VM that was suspended.

#include "SharedMemory.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

extern "C" int clock_gettime(clockid_t clock, struct timespec* time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    const auto* const suspended = suspendedTime();
    if (result != 0 || clock != CLOCK_MONOTONIC || suspended == nullptr)
        return result;
    constexpr std::int64_t nanosecondsPerSecond = 1'000'000'000;
    const auto counted = time->tv_sec * nanosecondsPerSecond + time->tv_nsec - suspended->nanoseconds.load();
    time->tv_sec = counted / nanosecondsPerSecond;
    time->tv_nsec = counted % nanosecondsPerSecond;
    return result;
}
