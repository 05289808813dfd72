#include "SharedMemory.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

std::atomic<PlatformTest::SuspendedTime*> shared;

__attribute__((constructor)) void openSharedMemory()
{
    constexpr auto size = sizeof(PlatformTest::SuspendedTime);
    const char* directory = std::getenv(PlatformTest::suspendedTimeDirectoryVariable);
    const auto path = std::string(directory != nullptr ? directory : ".") + "/" + std::to_string(::getpid());
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (file < 0 || ::ftruncate(file, size) != 0) {
        std::perror(path.c_str());
        std::abort();
    }
    void* memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (memory == MAP_FAILED) {
        std::perror(path.c_str());
        std::abort();
    }
    ::close(file);
    shared = static_cast<PlatformTest::SuspendedTime*>(memory);
}

} // namespace

PlatformTest::SuspendedTime* suspendedTime() { return shared.load(); }
