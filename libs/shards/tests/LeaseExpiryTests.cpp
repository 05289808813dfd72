#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

struct ExpiryFixture : EngineFixture {
    ExpiryFixture()
    {
        addUpstream(makeUpstream("u1"));
        engine.submit(SubmissionId(1), makeJob({}), at(0), TimePoint::max());
        const auto starts = scheduleAndTake<StartTask>(0);
        REQUIRE_EQ(starts.size(), 1);
        start = starts.front();
    }

    // A report that was requested after the lease should have expired.
    void reportAfterExpiry(bool listsRun)
    {
        UpstreamReport report { .startedUnixMs = 1000, .running = {}, .ended = {} };
        if (listsRun)
            report.running.push_back({ .task = start.task, .run = start.run, .checkpoint = {} });
        engine.handleReport(start.upstream, report, at(1200), at(1201));
        engine.handleLeaseExpired(start.upstream, report, at(1200), at(1201));
    }

    StartTask start;
};

} // namespace

TEST_CASE("A run that a report lists after its lease should have expired is not started again")
{
    ExpiryFixture fixture;
    SUBCASE("its start was answered") { fixture.confirmStart(fixture.start, 1); }
    SUBCASE("its start was not answered") { }
    fixture.reportAfterExpiry(true);
    CHECK(fixture.scheduleAndTake<StartTask>(1201).empty());
}

TEST_CASE("A run that a report does not list after its lease has expired is started again")
{
    ExpiryFixture fixture;
    SUBCASE("its start was answered") { fixture.confirmStart(fixture.start, 1); }
    SUBCASE("its start was not answered") { }
    fixture.reportAfterExpiry(false);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(1201).size(), 1);
}

TEST_CASE("A stop is repeated for a run that a report lists after its lease should have expired")
{
    ExpiryFixture fixture;
    fixture.confirmStart(fixture.start, 1);
    fixture.engine.cancel(SubmissionId(1), at(100));
    CHECK_EQ(fixture.takeActionsOf<StopTask>().size(), 1);
    fixture.reportAfterExpiry(true);
    CHECK_EQ(fixture.takeActionsOf<StopTask>().size(), 1);
}
