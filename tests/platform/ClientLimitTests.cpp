#include "ClientCrowd.h"
#include "Fleet.h"

#include <doctest/doctest.h>

#include <string>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;

// The limits of the entries in these tests. Their memory is less than half of that of the smallest VM, so that a few
// hundred connections are enough.
constexpr std::size_t memoryMb = 48;
constexpr std::size_t descriptors = 1'000;
constexpr std::size_t crowdSize = 600;
// More connections than the entry may have descriptors.
constexpr std::size_t crowdAboveDescriptors = 1'200;

const std::string requestLine = "POST /check/0000000000000001 HTTP/1.1\r\nHost: queue.example\r\n";

/// One entry that a crowd connects to.
struct CrowdedEntry {
    Fleet fleet;

    explicit CrowdedEntry(const std::string& name)
        : fleet({ .name = name,
            .entriesPerDomain = 1,
            .limits
            = { "memory_mb = " + std::to_string(memoryMb) + "\nfile_descriptors = " + std::to_string(descriptors) } })
    {
        REQUIRE(fleet.waitUntilReady());
    }

    // The crowd must still be connected.
    void checkServes()
    {
        const auto process = fleet.entry(0).pid();
        // The entry accepts this client after the crowd.
        CHECK(waitUntil(in(30s), [&] { return fleet.submit(0, jobId(1), 1).status == 200; }));
        INFO("peak memory ", peakMemory(process) / kilobyte, " KB, ", openDescriptors(process), " open descriptors");
        CHECK_GT(peakMemory(process), 0);
        CHECK_LT(peakMemory(process), memoryMb * megabyte);
        CHECK_LT(openDescriptors(process), descriptors);
    }
};

} // namespace

// Guards against an entry that runs out of memory or serves nobody while clients send heads that never end.
TEST_CASE("An entry serves beside clients whose request heads never end [node]")
{
    CrowdedEntry entry("node-endless-heads");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdSize);
    crowd.send(requestLine, "X-Field: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 1 * megabyte);
    entry.checkServes();
}

// Guards against heads whose many small fields are kept in parsed form, which takes twenty times their bytes.
TEST_CASE("An entry serves beside clients that send heads of many small fields [node]")
{
    CrowdedEntry entry("node-small-fields");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdSize);
    crowd.send(requestLine + "a", ":\r\na", 100 * kilobyte);
    entry.checkServes();
}

// Guards against an entry that buffers empty lines before a request without a limit.
TEST_CASE("An entry serves beside clients that send empty lines without end [node]")
{
    CrowdedEntry entry("node-empty-lines");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdSize);
    crowd.send("\r\n", "\r\n", 1 * megabyte);
    entry.checkServes();
}

// Guards against bodies that are each within the limit and together exceed the memory of the process.
TEST_CASE("An entry serves beside clients whose request bodies never end [node]")
{
    CrowdedEntry entry("node-endless-bodies");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdSize);
    crowd.send(requestLine + "Content-Length: 262144\r\n\r\n", "a", 250 * kilobyte);
    entry.checkServes();
}

// Guards against answers and pipelined requests that are kept for clients which read nothing.
TEST_CASE("An entry serves beside clients that pipeline requests and read no answer [node]")
{
    CrowdedEntry entry("node-unread-answers");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdSize);
    const std::string request = "GET /check/0000000000000001 HTTP/1.1\r\nHost: queue.example\r\n\r\n";
    crowd.send(request, request, 4 * megabyte);
    entry.checkServes();
}

// Guards against an entry without descriptors for the store, its upstreams and ordinary clients.
TEST_CASE("An entry serves beside more idle connections than it may have descriptors [node]")
{
    CrowdedEntry entry("node-many-connections");
    ClientCrowd crowd(entry.fleet.clientPort(0), crowdAboveDescriptors);
    entry.checkServes();
}
