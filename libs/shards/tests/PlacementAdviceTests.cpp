#include "EngineFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

constexpr int validityMs = 1000;

struct AdviceFixture : EngineFixture {
    SubmissionId submitAdvised(std::uint32_t tasks, int ms, const std::string& id = "00000000000000a1")
    {
        auto spec = makeSpec({ .id = id, .tasks = tasks });
        spec.advice = AdvicePolicy {
            .decision = milliseconds(10), .perUpstream = milliseconds(1), .validity = milliseconds(validityMs)
        };
        const SubmissionId submission { ++lastSubmission };
        engine.submit(submission, std::make_shared<const JobSpec>(spec), at(ms), TimePoint::max());
        return submission;
    }

    // Runs the scheduler and returns the only permit request.
    PermitRequest permitRequest(int ms)
    {
        const auto permitRequests = scheduleAndTake<PermitRequest>(ms);
        REQUIRE_EQ(permitRequests.size(), 1);
        return permitRequests.front();
    }
};

Tickets ticketsFor(const std::vector<std::string>& upstreams)
{
    Tickets tickets;
    for (const auto& each : upstreams)
        tickets[UpstreamId(each)] = "t-" + each;
    return tickets;
}

} // namespace

// Guards against starts on upstreams that the policy does not allow; the upstreams would refuse them.
TEST_CASE("A step with placement advice starts only on allowed upstreams, with their tickets")
{
    AdviceFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.addUpstream(makeUpstream(id));
    fixture.submitAdvised(2, 0);
    const auto permitRequest = fixture.permitRequest(0);
    CHECK_EQ(permitRequest.upstreams.size(), 3);
    CHECK(fixture.scheduleAndTake<StartTask>(5).empty());
    fixture.engine.handlePermits(permitRequest, ticketsFor({ "i-2" }), at(5), at(5));
    const auto starts = fixture.scheduleAndTake<StartTask>(20);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts) {
        CHECK_EQ(start.upstream.value, "i-2");
        CHECK_EQ(start.ticket, "t-i-2");
    }
}

// Guards against one request for each task, and against repeating a request that has been answered.
TEST_CASE("No request is sent while one is in flight or when all upstreams have been answered for")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(8, 0);
    const auto permitRequest = fixture.permitRequest(0);
    CHECK(fixture.scheduleAndTake<PermitRequest>(10).empty());
    fixture.engine.handlePermits(permitRequest, {}, at(5), at(5));
    CHECK(fixture.scheduleAndTake<PermitRequest>(20).empty());
    fixture.addUpstream(makeUpstream("i-2"), 30);
    const auto next = fixture.permitRequest(40);
    REQUIRE_EQ(next.upstreams.size(), 1);
    CHECK_EQ(next.upstreams.front().value, "i-2");
}

// Guards against requests that the service takes longer to answer than the objective allows.
TEST_CASE("A request names at most thirty upstreams, those with free capacity first")
{
    AdviceFixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.addUpstream(makeUpstream("small-" + std::to_string(i), 12'000));
    fixture.addUpstream(makeUpstream("large", 64'000));
    fixture.submitAdvised(20, 0);
    const auto permitRequest = fixture.permitRequest(0);
    CHECK_EQ(permitRequest.upstreams.size(), StepPermits::maxUpstreamsAsked);
    CHECK_EQ(permitRequest.upstreams.front().value, "large");
}

// Guards against starts with invalid tickets, which upstreams refuse.
TEST_CASE("A new ticket is requested if a ticket has expired or was refused, or if the upstream has restarted")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(4, 0);
    fixture.engine.handlePermits(fixture.permitRequest(0), ticketsFor({ "i-1" }), at(5), at(5));
    const auto starts = fixture.scheduleAndTake<StartTask>(20);
    REQUIRE_EQ(starts.size(), 3);

    SUBCASE("expired")
    {
        for (const auto& start : starts)
            fixture.confirmStart(start, 21);
        fixture.reportEnd(starts.front(), 1, RunEnd::Done, 5 + validityMs);
        CHECK(fixture.scheduleAndTake<StartTask>(5 + validityMs).empty());
    }
    SUBCASE("refused")
    {
        fixture.engine.handleStartRefused(
            UpstreamId("i-1"), starts.front().task, starts.front().run, StartRefusal::NoTicket, at(25));
        CHECK_EQ(fixture.permitRequest(25).upstreams.size(), 1);
    }
    SUBCASE("upstream restarted")
    {
        auto restarted = makeUpstream("i-1");
        restarted.startedUnixMs += 1;
        fixture.addUpstream(restarted, 200);
        CHECK_EQ(fixture.permitRequest(210).upstreams.size(), 1);
    }
}

// Guards against jobs that wait forever for a lost answer.
TEST_CASE("A request without an answer is retried after a delay")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(1, 0);
    fixture.engine.handlePermitFailure(fixture.permitRequest(0), at(50));
    CHECK(fixture.scheduleAndTake<PermitRequest>(60).empty());
    CHECK_EQ(fixture.permitRequest(400).upstreams.size(), 1);
}

// Guards against a loop of requests whose answers arrive too late to be used.
TEST_CASE("A ticket that has expired on arrival is not requested again at once")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(1, 0);
    const auto permitRequest = fixture.permitRequest(0);
    fixture.engine.handlePermits(permitRequest, ticketsFor({ "i-1" }), at(0), at(validityMs));
    CHECK(fixture.scheduleAndTake<PermitRequest>(validityMs + 5).empty());
    CHECK_EQ(fixture.permitRequest(validityMs + 400).upstreams.size(), 1);
}

// Guards against an answer for a cancelled submission that excludes upstreams for the next submission.
TEST_CASE("A late answer affects only the upstreams named in its request")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    const auto first = fixture.submitAdvised(1, 0);
    const auto earlierRequest = fixture.permitRequest(0);
    fixture.engine.cancel(first, at(10));
    fixture.addUpstream(makeUpstream("i-2"), 20);
    fixture.submitAdvised(1, 30);
    const auto permitRequest = fixture.permitRequest(30);
    CHECK_EQ(permitRequest.upstreams.size(), 2);
    fixture.engine.handlePermits(earlierRequest, ticketsFor({}), at(1), at(1));
    CHECK(fixture.scheduleAndTake<StartTask>(40).empty());
    fixture.engine.handlePermits(permitRequest, ticketsFor({ "i-2" }), at(35), at(35));
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(60).size(), 1);
}

// Guards against rejecting jobs although their objective includes the time for the advice.
TEST_CASE("The forecast of a job with placement advice includes one request in its end and in its objective")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    auto spec = makeSpec({});
    const auto withoutAdvice = fixture.engine.forecast(spec, at(0), at(0));
    spec.advice = AdvicePolicy { .decision = milliseconds(10), .perUpstream = milliseconds(1), .validity = {} };
    const auto advised = fixture.engine.forecast(spec, at(0), at(0));
    CHECK_EQ((advised.endAt - withoutAdvice.endAt).count(), Duration(milliseconds(40)).count());
    CHECK_GT(advised.objectiveAt, withoutAdvice.objectiveAt);
    CHECK(advised.meetsObjective());
}
