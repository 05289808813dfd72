#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

constexpr OriginId origin { 7 };
constexpr OriginId otherOrigin { 8 };

// Default options: tasks are started for 800 ms after a confirmation, and a client resends after 1300 ms.
struct OriginFixture : EngineFixture {
    OriginFixture() { addUpstream(makeUpstream("u1")); }

    SubmissionId submitFrom(OriginId from, int ms, const std::string& id = "00000000000000a1")
    {
        const SubmissionId submission { ++lastSubmission };
        engine.submit(submission, makeJob({ .id = id }), at(ms), TimePoint::max(), from);
        return submission;
    }

    StartTask startFrom(OriginId from, int ms, const std::string& id = "00000000000000a1")
    {
        submitFrom(from, ms, id);
        const auto starts = scheduleAndTake<StartTask>(ms);
        REQUIRE_EQ(starts.size(), 1);
        confirmStart(starts.front(), ms);
        return starts.front();
    }
};

} // namespace

TEST_CASE("No task is started for an origin that is not confirmed or whose confirmation is out of date")
{
    OriginFixture fixture;
    fixture.submitFrom(origin, 0);
    CHECK(fixture.scheduleAndTake<StartTask>(0).empty());
    fixture.engine.confirmOrigin(origin, at(-801));
    CHECK(fixture.scheduleAndTake<StartTask>(0).empty());
    fixture.engine.confirmOrigin(origin, at(-800));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(0).size(), 1);
}

TEST_CASE("A lost run is not restarted for an origin whose confirmation is out of date")
{
    OriginFixture fixture;
    fixture.engine.confirmOrigin(origin, at(0));
    const auto start = fixture.startFrom(origin, 0);
    fixture.reportEnd(start, 1, RunEnd::LeaseExpired, 2000);
    CHECK(fixture.scheduleAndTake<StartTask>(2000).empty());
    fixture.engine.confirmOrigin(origin, at(2000));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(2001).size(), 1);
}

TEST_CASE("Leases end before a client that gave up after the last confirmation can have submitted its job again")
{
    OriginFixture fixture;
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), TimePoint::max());
    fixture.engine.confirmOrigin(origin, at(0));
    fixture.engine.confirmOrigin(otherOrigin, at(50));
    fixture.startFrom(otherOrigin, 100);
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(1350));
    fixture.startFrom(origin, 100, "00000000000000b2");
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(1300));
    fixture.engine.confirmOrigin(origin, at(200));
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(1350));
}

TEST_CASE("A cancelled run still bounds the leases of its upstream until its end is known")
{
    OriginFixture fixture;
    fixture.engine.confirmOrigin(origin, at(0));
    fixture.engine.confirmOrigin(otherOrigin, at(0));
    const auto start = fixture.startFrom(origin, 0);
    fixture.startFrom(otherOrigin, 0, "00000000000000b2");
    SUBCASE("its client left") { fixture.engine.cancel(SubmissionId(1), at(100)); }
    SUBCASE("its origin was lost")
    {
        fixture.engine.cancel(SubmissionId(1), at(100));
        fixture.engine.forgetOrigin(origin);
    }
    fixture.engine.confirmOrigin(origin, at(400));
    fixture.engine.confirmOrigin(otherOrigin, at(400));
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(1300));
    fixture.reportEnd(start, 1, RunEnd::Stopped, 450);
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(1700));
}

TEST_CASE("An upstream on which a stop has no effect gets no task that would extend its lease")
{
    OriginFixture fixture;
    fixture.engine.confirmOrigin(origin, at(0));
    const auto start = fixture.startFrom(origin, 0);
    fixture.engine.cancel(SubmissionId(1), at(100));
    fixture.engine.confirmOrigin(otherOrigin, at(400));
    fixture.submitFrom(otherOrigin, 400, "00000000000000b2");
    CHECK(fixture.scheduleAndTake<StartTask>(400).empty());
    fixture.reportEnd(start, 1, RunEnd::Stopped, 450);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(450).size(), 1);
}

TEST_CASE("A task is not started under a lease that may outlast its client's request")
{
    OriginFixture fixture;
    fixture.engine.confirmOrigin(otherOrigin, at(700));
    fixture.startFrom(otherOrigin, 700);
    fixture.engine.noteLease(UpstreamId("u1"), at(1720));
    fixture.engine.confirmOrigin(origin, at(0));
    fixture.submitFrom(origin, 700, "00000000000000b2");
    CHECK(fixture.scheduleAndTake<StartTask>(700).empty());
    fixture.engine.confirmOrigin(origin, at(500));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(720).size(), 1);
}

TEST_CASE("The lease for an adopted run does not extend a run of the lost owner that is being stopped")
{
    OriginFixture former;
    former.engine.confirmOrigin(origin, at(0));
    const auto start = former.startFrom(origin, 0);
    OriginFixture next;
    next.engine.handleReport(UpstreamId("u1"),
        { .startedUnixMs = 1000,
            .running = { { .task = start.task, .run = start.run, .checkpoint = {} } },
            .ended = {} },
        at(100), at(100));
    CHECK_EQ(next.takeActionsOf<StopTask>().size(), 1);
    CHECK_LE(next.engine.leaseLimit(UpstreamId("u1")), at(100));
    next.reportEnd(start, 1, RunEnd::Stopped, 160);
    CHECK_EQ(next.engine.leaseLimit(UpstreamId("u1")), TimePoint::max());
}

TEST_CASE("A job that comes again from another origin is bound to the new origin")
{
    OriginFixture fixture;
    fixture.engine.confirmOrigin(origin, at(0));
    fixture.startFrom(origin, 0);
    fixture.engine.confirmOrigin(otherOrigin, at(1000));
    fixture.submitFrom(otherOrigin, 1000);
    fixture.engine.forgetOrigin(origin);
    CHECK_EQ(fixture.engine.leaseLimit(UpstreamId("u1")), at(2300));
}

TEST_CASE("An inherited job without a confirmed origin is neither started nor given a lease")
{
    OriginFixture former;
    former.engine.confirmOrigin(origin, at(0));
    const auto start = former.startFrom(origin, 0);
    OriginFixture next;
    const auto jobs = former.engine.exportJobs();
    REQUIRE_EQ(jobs.size(), 1);
    next.engine.importJob(SubmissionId(1), jobs.front(), otherOrigin);
    next.engine.expectRuns(jobs.front().key, jobs.front().expected, at(1200));
    next.engine.handleReport(UpstreamId("u1"),
        { .startedUnixMs = 1000,
            .running = { { .task = start.task, .run = start.run, .checkpoint = {} } },
            .ended = {} },
        at(100), at(100));
    CHECK_EQ(next.takeActionsOf<TaskAdopted>().size(), 1);
    CHECK_EQ(next.engine.leaseLimit(UpstreamId("u1")), TimePoint::min());
    CHECK(next.engine.forecast(makeSpec({ .id = "00000000000000b2" }), at(100), at(100)).meetsObjective());
    next.reportEnd(start, 1, RunEnd::LeaseExpired, 200);
    CHECK(next.scheduleAndTake<StartTask>(200).empty());
    next.engine.setOrigin(SubmissionId(1), origin);
    next.engine.confirmOrigin(origin, at(250));
    CHECK_EQ(next.scheduleAndTake<StartTask>(250).size(), 1);
}
