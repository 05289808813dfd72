#include "balsammill/base/SuspendAwareClock.h"

#include <cerrno>
#include <ctime>
#include <system_error>

namespace Balsammill {

SuspendAwareClock::time_point SuspendAwareClock::now()
{
    timespec time {};
    if (::clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        throw std::system_error(errno, std::generic_category(), "cannot read CLOCK_BOOTTIME");
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace Balsammill
