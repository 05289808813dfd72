#include "ResendSimulation.h"
#include "SuccessionSimulation.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace Balsammill::Shards::Testing;

namespace {

int numberFromEnvironment(const char* name, int otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoi(text);
}

// Manual runs can set a higher number of schedules, and the first one.
int scheduleCount() { return numberFromEnvironment("BALSAMMILL_SCHEDULES", 100); }
int firstSchedule() { return numberFromEnvironment("BALSAMMILL_FIRST_SCHEDULE", 0); }

// Schedules until one is found that violates a rule because a protection is switched off.
constexpr int maxSchedulesToFind = 1'000;
// A schedule in which a late grant leads to two runs of a task unless owners limit late grants.
constexpr unsigned lateGrantSeed = 3'375'713'021U;

unsigned seedOf(int schedule) { return static_cast<unsigned>(schedule) * 2'654'435'761U; }

// Returns the first seed with a violation.
std::optional<unsigned> runSchedules(const ResendSimulation::Options& options, int count)
{
    std::uint64_t runs = 0;
    std::uint64_t ended = 0;
    std::uint64_t resends = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lapsed = 0;
    std::uint64_t confirmed = 0;
    std::optional<unsigned> failed;
    int schedules = 0;
    for (int i = firstSchedule(); i < firstSchedule() + count && !failed; ++i) {
        ResendSimulation simulation(seedOf(i), options);
        if (!simulation.run().empty())
            failed = seedOf(i);
        ++schedules;
        runs += simulation.world().runsStarted;
        stopped += simulation.world().runsStopped;
        lapsed += simulation.world().runsLapsed;
        confirmed += simulation.world().confirmedAfterHandOver;
        ended += simulation.ended();
        resends += simulation.resends();
    }
    MESSAGE("seed ", failed.value_or(0), ", schedules ", schedules, ", runs ", runs, " (stopped ", stopped, ", lapsed ",
        lapsed, "), jobs ended ", ended, ", submitted again ", resends, ", confirmed after a handover ", confirmed);
    return failed;
}

// As runSchedules(), of shards with durable jobs and several owners in a row.
std::optional<unsigned> runSuccessions(const SuccessionSimulation::Options& options, int count)
{
    std::uint64_t runs = 0;
    std::uint64_t changes = 0;
    std::uint64_t jobs = 0;
    std::optional<unsigned> failed;
    int schedules = 0;
    for (int i = firstSchedule(); i < firstSchedule() + count && !failed; ++i) {
        SuccessionSimulation simulation(seedOf(i), options);
        if (!simulation.run().empty())
            failed = seedOf(i);
        ++schedules;
        runs += simulation.world().runsStarted;
        changes += simulation.ownerChanges();
        jobs += simulation.jobs();
    }
    MESSAGE("seed ", failed.value_or(0), ", schedules ", schedules, ", runs ", runs, ", owner changes ", changes,
        ", jobs ", jobs);
    return failed;
}

void expectNoViolation(ResendSimulation::Options options)
{
    const auto seed = runSchedules(options, scheduleCount());
    if (!seed)
        return;
    options.traced = true;
    ResendSimulation again(*seed, options);
    const auto violation = again.run();
    const auto trace = again.trace();
    INFO("seed ", *seed, "\n", trace);
    CHECK_EQ(violation, "");
}

} // namespace

// Guards against a second run of a task that a client has submitted again, to any entry and any shard, while an owner
// or an upstream still goes on with its earlier attempt.
TEST_CASE("No task has two runs at a time over all shards when clients submit their jobs again")
{
    expectNoViolation({});
}

// Guards against deciding about a run by a report that lists only some of the ends.
TEST_CASE("No task has two runs at a time over all shards when reports list one end at a time")
{
    expectNoViolation({ .maxListedEnds = 1 });
}

// Guards against a start that is sent again for a client that has left: its owner stood still for 2.8 s, and the
// request was refused because of the owner's own raised fencing token.
TEST_CASE("A start that was refused because of a raised token is not sent again after its client's resend delay")
{
    CHECK_EQ(ResendSimulation(1208196639, {}).run(), "");
}

// Guards against several late grants of one check, when its owner stands still before a later request is answered.
TEST_CASE("A grant without an answer is not repeated before a request with a raised token is answered")
{
    CHECK_EQ(ResendSimulation(950408416, {}).run(), "");
}

// Guards against exceeded capacity: the first copy of a start was refused, although a later copy had started the run.
TEST_CASE("A refused copy of a start does not count as never started while another copy may have started the run")
{
    CHECK_EQ(ResendSimulation(4158909327, {}).run(), "");
}

// Guards against exceeded capacity: a report that was requested before a start arrived did not list the run, and the
// grace period of its stop was counted from that report.
TEST_CASE("A run that is being stopped keeps its capacity although a report from before its start does not list it")
{
    CHECK_EQ(ResendSimulation(2876694146, {}).run(), "");
}

// Guards against a simulation in which the rules that it is meant to check make no difference.
TEST_CASE("The schedules with resent jobs find two runs of a task if confirmations, clocks or tokens do not bound them")
{
    CHECK(runSchedules({ .confirmation = Confirmation::Off }, maxSchedulesToFind));
    CHECK(runSchedules({ .confirmation = Confirmation::OfConnectionsOnly }, maxSchedulesToFind));
    CHECK(runSchedules({ .clocksStand = true }, maxSchedulesToFind));
    // One in several thousand schedules depends on the limit, so one of them is named.
    CHECK_NE(ResendSimulation(lateGrantSeed, { .limitsLateGrants = false }).run(), "");
    CHECK_EQ(ResendSimulation(lateGrantSeed, {}).run(), "");
}

// Guards against run numbers that several owners in a row use, against ends that are applied to another run or dropped,
// and against jobs that therefore never end (review case 11).
TEST_CASE("Durable jobs end as their runs did, whatever their owners in a row know of each other's runs")
{
    const auto seed = runSuccessions({}, scheduleCount());
    if (!seed)
        return;
    SuccessionSimulation again(*seed, { .traced = true });
    const auto violation = again.run();
    const auto trace = again.trace();
    INFO("seed ", *seed, "\n", trace);
    CHECK_EQ(violation, "");
}

// Guards against a second run of a task: an owner handed the shard over before it had read the journal, and without
// what its predecessor had told it.
TEST_CASE("Runs that an owner was told of and has not taken over yet are handed over too")
{
    CHECK_EQ(SuccessionSimulation(2700742277, {}).run(), "");
}

// Guards against a shard without an owner: its owner had given it away and got it back before it read the record, went
// on in its former epoch until it was fenced, and did not begin again.
TEST_CASE("An owner that gets its shard back before it has seen the change begins again in the new epoch")
{
    CHECK_EQ(SuccessionSimulation(2621669511, {}).run(), "");
}

// Guards against a second run of a task: an occurrence became due and was started just before a handover, and its new
// owner did not know of it yet when the run was reported.
TEST_CASE("An occurrence that was started just before a handover is taken over with its run")
{
    CHECK_EQ(SuccessionSimulation(464659315, {}).run(), "");
}

// Guards against a completed task that is started again: its end was acknowledged because another occurrence had failed
// the job, and the owner ended before that was stored.
TEST_CASE("A completed task of a job that has failed is not started again if the failure was not stored")
{
    CHECK_EQ(SuccessionSimulation(2388716826, {}).run(), "");
}

// Guards against a simulation in which owners in a row never meet each other's run numbers.
TEST_CASE("The schedules with durable jobs find a run number that is used again if none are reserved")
{
    CHECK(runSuccessions({ .reservesRunNumbers = false }, maxSchedulesToFind));
}
