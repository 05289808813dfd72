#include "Suspension.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <stdexcept>

namespace PlatformTest {

namespace {

constexpr auto directory = INTEGRATION_LOG_DIR "/suspended-time";

SuspendedTime* openSuspendedTime(const IntegrationTest::Process& process)
{
    const auto path = std::string(directory) + "/" + std::to_string(process.pid());
    const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0)
        throw std::runtime_error(path + " cannot be opened");
    void* memory = ::mmap(nullptr, sizeof(SuspendedTime), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (memory == MAP_FAILED)
        throw std::runtime_error(path + " cannot be mapped");
    return static_cast<SuspendedTime*>(memory);
}

} // namespace

Suspension::Suspension(const IntegrationTest::Process& process, OpenConnections openConnections)
    : process_(process)
    , openConnections_(openConnections)
    , suspendedTime_(openSuspendedTime(process))
{
    process_.signal(SIGSTOP);
    siginfo_t stopped {};
    if (::waitid(P_PID, static_cast<id_t>(process_.pid()), &stopped, WSTOPPED) != 0) {
        ::munmap(suspendedTime_, sizeof(SuspendedTime));
        throw std::runtime_error(process_.name() + " cannot be stopped");
    }
    beganAt_ = Balsammill::monotonicNow();
}

Suspension::~Suspension()
{
    suspendedTime_->nanoseconds += std::chrono::nanoseconds(Balsammill::monotonicNow() - beganAt_).count();
    if (openConnections_ == OpenConnections::GoSilent)
        ++suspendedTime_->silences;
    process_.signal(SIGCONT);
    ::munmap(suspendedTime_, sizeof(SuspendedTime));
}

std::map<std::string, std::string> Suspension::environment()
{
    std::filesystem::create_directories(directory);
    return { { "LD_PRELOAD", SUSPENDABLE_VM_LIBRARY }, { suspendedTimeDirectoryVariable, directory },
        // AddressSanitizer otherwise refuses to start after a library that does not link it.
        { "ASAN_OPTIONS", "verify_asan_link_order=0" } };
}

} // namespace PlatformTest
