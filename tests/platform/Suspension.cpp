#include "Suspension.h"

#include <sys/wait.h>

#include <csignal>
#include <stdexcept>

namespace PlatformTest {

Suspension::Suspension(const IntegrationTest::Process& process, OpenConnections openConnections)
    : process_(process)
    , openConnections_(openConnections)
    , suspendedTime_(process)
{
    process_.signal(SIGSTOP);
    siginfo_t stopped {};
    if (::waitid(P_PID, static_cast<id_t>(process_.pid()), &stopped, WSTOPPED) != 0)
        throw std::runtime_error(process_.name() + " cannot be stopped");
    beganAt_ = Balsammill::monotonicNow();
}

Suspension::~Suspension()
{
    suspendedTime_->nanoseconds += std::chrono::nanoseconds(Balsammill::monotonicNow() - beganAt_).count();
    if (openConnections_ == OpenConnections::GoSilent)
        ++suspendedTime_->silences;
    process_.signal(SIGCONT);
}

std::map<std::string, std::string> Suspension::environment() { return SuspendedTimeMapping::environment(); }

} // namespace PlatformTest
