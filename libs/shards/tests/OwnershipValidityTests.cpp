#include "EngineFixture.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

const UpstreamId u1 { "u1" };

OccurrenceKey keyOf(const JobOptions& options) { return { .job = JobId(options.id) }; }

std::shared_ptr<const JobSpec> durable(const JobOptions& options)
{
    auto spec = makeSpec(options);
    spec.durable = true;
    return std::make_shared<const JobSpec>(spec);
}

constexpr OriginId client { 7 };

// Submits a best-effort job whose client is known to wait.
void submitBestEffort(EngineFixture& fixture, const std::string& id, int ms)
{
    fixture.engine.confirmOrigin(client, at(ms));
    fixture.engine.submit(
        SubmissionId(++fixture.lastSubmission), makeJob({ .id = id }), at(ms), TimePoint::max(), client);
}

} // namespace

// Guards against a start by an owner that was cut off from the store: another owner may run the task elsewhere.
TEST_CASE("Tasks of durable jobs are started only while no other owner may act on them")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.engine.setOwnershipValidUntil(at(1'000));
    fixture.engine.submitDurable(keyOf({}), durable({}), at(0));
    CHECK(fixture.scheduleAndTake<StartTask>(900).empty());
    CHECK(fixture.scheduleAndTake<StartTask>(1'500).empty());
    // What is not stored belongs to clients of this owner, and goes on.
    submitBestEffort(fixture, "00000000000000b1", 1'500);
    const auto starts = fixture.scheduleAndTake<StartTask>(1'500);
    REQUIRE_EQ(starts.size(), 1);
    CHECK_EQ(starts[0].task.job, JobId("00000000000000b1"));
    fixture.engine.setOwnershipValidUntil(at(10'000));
    REQUIRE_EQ(fixture.scheduleAndTake<StartTask>(1'600).size(), 1);
}

// Guards against a run of a durable job that outlives its owner's right to it.
TEST_CASE("The lease of an upstream with runs of durable jobs ends with the ownership")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.engine.setOwnershipValidUntil(at(5'000));
    submitBestEffort(fixture, "00000000000000b1", 0);
    REQUIRE_EQ(fixture.scheduleAndTake<StartTask>(0).size(), 1);
    CHECK_LT(fixture.engine.leaseLimit(u1), at(5'000));
    EngineFixture other;
    other.addUpstream(makeUpstream("u1"));
    other.engine.setOwnershipValidUntil(at(5'000));
    other.engine.submitDurable(keyOf({}), durable({ .estimateMs = 60'000 }), at(0));
    const auto starts = other.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    other.confirmStart(starts[0], 1);
    CHECK_EQ(other.engine.leaseLimit(u1), at(5'000));
    // A best-effort job must not share the lease beyond that time.
    submitBestEffort(other, "00000000000000b1", 4'800);
    CHECK(other.scheduleAndTake<StartTask>(4'800).empty());
    other.engine.setOwnershipValidUntil(at(9'000));
    CHECK_EQ(other.engine.leaseLimit(u1), at(9'000));
    CHECK_EQ(other.scheduleAndTake<StartTask>(4'800).size(), 1);
}

// Guards against a task that runs again after its end was taken note of: without a lapsed lease in between, an end that
// is not in the store still counts.
TEST_CASE("The lease of an upstream with unrecorded ends ends with the ownership, and limits nothing afterwards")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1"));
    fixture.engine.setOwnershipValidUntil(at(5'000));
    fixture.engine.submitDurable(keyOf({}), durable({}), at(0));
    const auto starts = fixture.scheduleAndTake<StartTask>(0);
    REQUIRE_EQ(starts.size(), 1);
    fixture.confirmStart(starts[0], 1);
    fixture.engine.noteLease(u1, at(4'900));
    fixture.reportEnd(starts[0], 1, RunEnd::Done, 100);
    REQUIRE(fixture.engine.hasUnrecordedEnds(u1));
    CHECK_EQ(fixture.engine.leaseLimit(u1), at(5'000));
    submitBestEffort(fixture, "00000000000000b1", 4'880);
    CHECK(fixture.scheduleAndTake<StartTask>(4'880).empty());
    fixture.engine.advance(at(4'901));
    CHECK_EQ(fixture.engine.leaseLimit(u1), TimePoint::max());
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(4'901).size(), 1);
}
