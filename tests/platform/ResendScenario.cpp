#include "ResendScenario.h"

#include <Poco/Net/HTTPClientSession.h>

namespace PlatformTest {

using namespace std::chrono_literals;
using IntegrationTest::in;
using IntegrationTest::waitUntil;

namespace {

constexpr int otherRunMs = 1'500;
constexpr int otherClients = 6;
constexpr int otherMilliCores = 1'000;
// Staggers the other jobs, so that one of them starts every 250 ms.
constexpr auto otherClientDelay = 250ms;

} // namespace

ResendScenario::ResendScenario(const std::string& fleetName, int runMs)
    : fleet_({ .name = fleetName, .domains = { "lantapan", "valencia" }, .upstreamsPerDomain = 1, .runMs = runMs })
    , runMs_(runMs)
{
}

ResendScenario::~ResendScenario() { stopOtherJobs(); }

bool ResendScenario::begin()
{
    ++round_;
    const auto owner = fleet_.ownerOf("valencia");
    if (owner >= fleet_.entryCount())
        return false;
    // Entries 2 and 3 are those of valencia.
    origin_ = 5 - owner;
    upstream().setRunMs(runMs_);
    if (!startJob())
        return false;
    upstream().setRunMs(otherRunMs);
    startOtherJobs(owner);
    return waitUntil(in(20s), [&] { return fleet_.activeRuns() > 2; });
}

bool ResendScenario::startJob()
{
    // An entry that has no connection to the owner of its own failure domain yet sends the job to the other one.
    return waitUntil(in(20s), [&] {
        client_ = fleet_.openSubmission(origin_, jobId(round_), 1);
        if (!waitUntil(in(5s), [&] { return fleet_.activeRuns() == 1; }))
            return false;
        if (upstream().activeRuns() == 1)
            return true;
        leave();
        waitUntil(in(5s), [&] { return fleet_.activeRuns() == 0; });
        return false;
    });
}

void ResendScenario::leave() { client_.reset(); }

ClientAnswer ResendScenario::sendAgain()
{
    std::this_thread::sleep_for(resendDelay);
    fleet_.upstream(0).setRunMs(otherRunMs);
    return fleet_.submit(fleet_.ownerOf("lantapan"), jobId(round_), 1);
}

bool ResendScenario::end()
{
    leave();
    stopOtherJobs();
    return fleet_.waitUntilReady() && waitUntil(in(20s), [&] { return fleet_.activeRuns() == 0; });
}

void ResendScenario::startOtherJobs(std::size_t owner)
{
    stopping_ = false;
    for (int i = 0; i < otherClients; ++i) {
        otherClients_.emplace_back([this, owner, i] {
            std::this_thread::sleep_for(i * otherClientDelay);
            while (!stopping_) {
                if (fleet_.submit(owner, jobId(++lastOtherJob_), 1, otherMilliCores).status != 200)
                    std::this_thread::sleep_for(otherClientDelay);
            }
        });
    }
}

void ResendScenario::stopOtherJobs()
{
    stopping_ = true;
    for (auto& client : otherClients_)
        client.join();
    otherClients_.clear();
}

} // namespace PlatformTest
