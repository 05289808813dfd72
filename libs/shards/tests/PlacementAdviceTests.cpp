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

    // Asks if nothing fits, and returns the only question.
    AskPermits question(int ms)
    {
        const auto questions = scheduled<AskPermits>(ms);
        REQUIRE_EQ(questions.size(), 1);
        return questions.front();
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

// Guards against starts on upstreams that the policy does not allow, which upstreams refuse.
TEST_CASE("A step with advised placement starts only on allowed upstreams, with their tickets")
{
    AdviceFixture fixture;
    for (const auto* id : { "i-1", "i-2", "i-3" })
        fixture.addUpstream(makeUpstream(id));
    fixture.submitAdvised(2, 0);
    const auto question = fixture.question(0);
    CHECK_EQ(question.upstreams.size(), 3);
    CHECK(fixture.scheduled<StartTask>(5).empty());
    fixture.engine.handlePermits(question, ticketsFor({ "i-2" }), at(5), at(5));
    const auto starts = fixture.scheduled<StartTask>(20);
    REQUIRE_EQ(starts.size(), 2);
    for (const auto& start : starts) {
        CHECK_EQ(start.upstream.value, "i-2");
        CHECK_EQ(start.ticket, "t-i-2");
    }
}

// Guards against a call for each task, and against asking again what has been answered.
TEST_CASE("Nothing is asked while a question is open or when everything has been answered")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(8, 0);
    const auto question = fixture.question(0);
    CHECK(fixture.scheduled<AskPermits>(10).empty());
    fixture.engine.handlePermits(question, {}, at(5), at(5));
    CHECK(fixture.scheduled<AskPermits>(20).empty());
    fixture.addUpstream(makeUpstream("i-2"), 30);
    const auto next = fixture.question(40);
    REQUIRE_EQ(next.upstreams.size(), 1);
    CHECK_EQ(next.upstreams.front().value, "i-2");
}

// Guards against questions that the service takes longer to answer than the objective allows for.
TEST_CASE("A question names at most thirty upstreams, first those with room")
{
    AdviceFixture fixture;
    for (int i = 0; i < 40; ++i)
        fixture.addUpstream(makeUpstream("small-" + std::to_string(i), 12'000));
    fixture.addUpstream(makeUpstream("large", 64'000));
    fixture.submitAdvised(20, 0);
    const auto question = fixture.question(0);
    CHECK_EQ(question.upstreams.size(), StepPermits::maxUpstreamsAsked);
    CHECK_EQ(question.upstreams.front().value, "large");
}

// Guards against starts with tickets that upstreams refuse.
TEST_CASE("An expired, refused or outlived ticket is asked for again")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(4, 0);
    fixture.engine.handlePermits(fixture.question(0), ticketsFor({ "i-1" }), at(5), at(5));
    const auto starts = fixture.scheduled<StartTask>(20);
    REQUIRE_EQ(starts.size(), 3);

    SUBCASE("expired")
    {
        for (const auto& start : starts)
            fixture.started(start, 21);
        fixture.ended(starts.front(), 1, RunEnd::Done, 5 + validityMs);
        CHECK(fixture.scheduled<StartTask>(5 + validityMs).empty());
    }
    SUBCASE("refused")
    {
        fixture.engine.handleStartRefused(
            UpstreamId("i-1"), starts.front().task, starts.front().run, StartRefusal::NoTicket, at(25));
        CHECK_EQ(fixture.question(25).upstreams.size(), 1);
    }
    SUBCASE("upstream started again")
    {
        auto reborn = makeUpstream("i-1");
        reborn.bornMs += 1;
        fixture.addUpstream(reborn, 200);
        CHECK_EQ(fixture.question(210).upstreams.size(), 1);
    }
}

// Guards against jobs that wait for ever for an answer that was lost.
TEST_CASE("A question without an answer is asked again after a pause")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(1, 0);
    fixture.engine.handleNoPermits(fixture.question(0), at(50));
    CHECK(fixture.scheduled<AskPermits>(60).empty());
    CHECK_EQ(fixture.question(400).upstreams.size(), 1);
}

// Guards against a loop of questions whose answers come too late to be used.
TEST_CASE("A ticket that has expired on arrival is not asked for again at once")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    fixture.submitAdvised(1, 0);
    const auto question = fixture.question(0);
    fixture.engine.handlePermits(question, ticketsFor({ "i-1" }), at(0), at(validityMs));
    CHECK(fixture.scheduled<AskPermits>(validityMs + 5).empty());
    CHECK_EQ(fixture.question(validityMs + 400).upstreams.size(), 1);
}

// Guards against an answer to a cancelled submission that rules out upstreams for the next one.
TEST_CASE("A late answer says nothing about upstreams that it was not asked about")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    const auto first = fixture.submitAdvised(1, 0);
    const auto early = fixture.question(0);
    fixture.engine.cancel(first, at(10));
    fixture.addUpstream(makeUpstream("i-2"), 20);
    fixture.submitAdvised(1, 30);
    const auto question = fixture.question(30);
    CHECK_EQ(question.upstreams.size(), 2);
    fixture.engine.handlePermits(early, ticketsFor({}), at(1), at(1));
    CHECK(fixture.scheduled<StartTask>(40).empty());
    fixture.engine.handlePermits(question, ticketsFor({ "i-2" }), at(35), at(35));
    CHECK_EQ(fixture.scheduled<StartTask>(60).size(), 1);
}

// Guards against refusals of jobs whose objective allows for the advice.
TEST_CASE("The forecast of an advised job counts one question, in its end and in its objective")
{
    AdviceFixture fixture;
    fixture.addUpstream(makeUpstream("i-1"));
    auto spec = makeSpec({});
    const auto plain = fixture.engine.forecast(spec, at(0), at(0));
    spec.advice = AdvicePolicy { .decision = milliseconds(10), .perUpstream = milliseconds(1), .validity = {} };
    const auto advised = fixture.engine.forecast(spec, at(0), at(0));
    CHECK_EQ((advised.endAt - plain.endAt).count(), Duration(milliseconds(40)).count());
    CHECK_GT(advised.objectiveAt, plain.objectiveAt);
    CHECK(advised.meetsObjective());
}
