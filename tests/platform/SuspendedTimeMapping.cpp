#include "SuspendedTimeMapping.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>

using namespace std::chrono_literals;

namespace PlatformTest {

namespace {

constexpr auto directory = INTEGRATION_LOG_DIR "/suspended-time";

} // namespace

SuspendedTimeMapping::SuspendedTimeMapping(const IntegrationTest::Process& process)
{
    const auto path = std::string(directory) + "/" + std::to_string(process.pid());
    // A process that has just been started has not created its file yet.
    const bool created = IntegrationTest::waitUntil(IntegrationTest::in(5s), [&] {
        std::error_code error;
        const auto size = std::filesystem::file_size(path, error);
        return !error && size >= sizeof(SuspendedTime);
    });
    const int file = created ? ::open(path.c_str(), O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        throw std::runtime_error(path + " cannot be opened");
    void* memory = ::mmap(nullptr, sizeof(SuspendedTime), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (memory == MAP_FAILED)
        throw std::runtime_error(path + " cannot be mapped");
    memory_ = static_cast<SuspendedTime*>(memory);
}

SuspendedTimeMapping::~SuspendedTimeMapping() { ::munmap(memory_, sizeof(SuspendedTime)); }

std::map<std::string, std::string> SuspendedTimeMapping::environment()
{
    std::filesystem::create_directories(directory);
    return { { "LD_PRELOAD", SUSPENDABLE_VM_LIBRARY }, { suspendedTimeDirectoryVariable, directory },
        // AddressSanitizer otherwise refuses to start after a library that does not link it.
        { "ASAN_OPTIONS", "verify_asan_link_order=0" } };
}

} // namespace PlatformTest
