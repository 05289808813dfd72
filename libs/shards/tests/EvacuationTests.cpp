#include "EngineFixture.h"

#include "balsammill/shards/Admission.h"
#include "balsammill/shards/ShardSelection.h"

#include "balsammill/base/StableHash.h"

#include <doctest/doctest.h>

#include <map>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

constexpr int noStartsFrom = 100;

struct EvacuatedShard : EngineFixture {
    EvacuatedShard() { addUpstream(makeUpstream("u1", 32'000)); }

    void evacuate(int ms = noStartsFrom) { engine.setEvacuation(at(ms)); }
};

std::vector<ShardCandidate> fourDomains(bool homeEvacuated)
{
    return { { .name = ShardName("valencia/0"), .home = true, .evacuated = homeEvacuated, .freeMilliCores = 300'000 },
        { .name = ShardName("lantapan/0"), .freeMilliCores = 200'000 },
        { .name = ShardName("malaybalay/0"), .freeMilliCores = 160'000 },
        { .name = ShardName("impasugong/0"), .freeMilliCores = 40'000 } };
}

} // namespace

// Guards against jobs that are accepted, or refused although another domain could run them, during an evacuation.
TEST_CASE("While its failure domain is evacuated, a shard redirects new jobs or refuses them at once")
{
    EvacuatedShard shard;
    shard.evacuate();
    const auto spec = makeSpec({});
    const auto forecast = shard.engine.forecast(spec, at(0), at(0));
    CHECK(forecast.evacuated);
    CHECK_FALSE(forecast.meetsObjective());
    // The other shard is busy, but only it can tell whether it has room in time.
    const std::vector<OtherShard> others {
        { .name = ShardName("lantapan/0"), .freeMilliCores = -5, .waitingJobs = 2 }
    };
    const auto redirected = decideAdmission({ .job = spec, .forecast = forecast, .others = others, .now = at(0) });
    REQUIRE(std::holds_alternative<RedirectToShard>(redirected));
    CHECK_EQ(std::get<RedirectToShard>(redirected).shard, ShardName("lantapan/0"));
    const auto refused = decideAdmission({ .job = spec, .forecast = forecast, .others = {}, .now = at(0) });
    REQUIRE(std::holds_alternative<RefuseJob>(refused));
    CHECK_GE(std::get<RefuseJob>(refused).retryAfter, std::chrono::seconds(1));
    CHECK_LE(shard.engine.load(at(0)).freeMilliCores, 0);
}

// Guards against a start after the bound, and against accepted jobs that are given up although time is left for them.
TEST_CASE("Jobs accepted before an evacuation start tasks until the time from which none may start")
{
    EvacuatedShard shard;
    shard.submit({ .id = "00000000000000a1", .tasks = 4 }, 0);
    shard.evacuate();
    shard.engine.advance(at(noStartsFrom - 2));
    const auto starts = shard.scheduleAndTake<StartTask>(noStartsFrom - 1);
    CHECK_EQ(starts.size(), 3);
    shard.submit({ .id = "00000000000000a2" }, noStartsFrom - 1);
    shard.confirmStart(starts.at(0), noStartsFrom);
    shard.reportEnd(starts.at(0), 1, RunEnd::Done, noStartsFrom + 1);
    CHECK(shard.scheduleAndTake<StartTask>(noStartsFrom + 1).empty());
}

// Guards against runs that are cut short, jobs that wait for the end of the evacuation, and answers that say of a
// started job that it has not run.
TEST_CASE("Best-effort jobs that cannot go on are finished, and runs are not stopped")
{
    EvacuatedShard shard;
    const auto started = shard.submit({ .id = "00000000000000a1", .tasks = 4 }, 0);
    const auto starts = shard.scheduleAndTake<StartTask>(1);
    REQUIRE_EQ(starts.size(), 3);
    for (const auto& start : starts)
        shard.confirmStart(start, 2);
    const auto notStarted = shard.submit({ .id = "00000000000000a2" }, 3);
    shard.evacuate(10);
    shard.engine.advance(at(10));
    auto finished = shard.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].submission, notStarted);
    CHECK_EQ(finished[0].result, JobResult::Evacuated);
    REQUIRE(finished[0].spec != nullptr);

    for (std::uint64_t i = 0; i < starts.size(); ++i)
        shard.reportEnd(starts[i], i + 1, RunEnd::Done, 100 + static_cast<int>(i));
    CHECK(shard.takeActionsOf<StopTask>().empty());
    shard.engine.advance(at(110));
    finished = shard.takeActionsOf<FinishJob>();
    REQUIRE_EQ(finished.size(), 1);
    CHECK_EQ(finished[0].submission, started);
    CHECK_EQ(finished[0].result, JobResult::Interrupted);
}

// Guards against durable jobs that are dropped, and against an evacuation that goes on after it has been taken back.
TEST_CASE("Durable jobs wait for the end of an evacuation, which takes effect at once")
{
    EvacuatedShard shard;
    auto spec = makeSpec({});
    spec.durable = true;
    shard.engine.submitDurable({ .job = spec.id }, std::make_shared<const JobSpec>(spec), at(0));
    shard.evacuate(0);
    shard.engine.advance(at(60'000));
    CHECK(shard.scheduleAndTake<StartTask>(60'000).empty());
    CHECK(shard.takeActionsOf<FinishJob>().empty());
    shard.engine.setEvacuation(std::nullopt);
    CHECK_EQ(shard.scheduleAndTake<StartTask>(60'001).size(), 1);
    CHECK(shard.engine.forecast(makeSpec({}), at(60'001), at(60'001)).meetsObjective());
}

// Load: the jobs that the entries of an evacuated domain send between two status reports, all by the same reports.
// Guards against a shard that gets all of them and has to refuse most.
TEST_CASE("Jobs from an evacuated domain are spread over the other domains by their free capacity")
{
    const auto candidates = fourDomains(true);
    constexpr int jobs = 400;
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < jobs; ++i)
        ++chosen[chooseShard(candidates, true, stableHash("job-" + std::to_string(i))).value()];
    CHECK_EQ(chosen[0], 0);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto share = static_cast<double>(candidates[i].freeMilliCores) / 400'000;
        INFO("shard ", candidates[i].name.value, " got ", chosen[i], " jobs, its share is ", share);
        CHECK_LT(chosen[i], share * jobs * 1.3);
        CHECK_GT(chosen[i], share * jobs * 0.7);
    }
}

TEST_CASE("Jobs go to the home shard with the most free capacity unless its domain is evacuated")
{
    auto candidates = fourDomains(false);
    CHECK_EQ(chooseShard(candidates, false, 77), 0);
    candidates.push_back({ .name = ShardName("valencia/1"), .home = true, .freeMilliCores = 310'000 });
    CHECK_EQ(chooseShard(candidates, false, 77), 4);
    for (auto& each : candidates)
        each.evacuated = true;
    CHECK_EQ(chooseShard(candidates, true, 77), 4);
    CHECK_FALSE(chooseShard({}, true, 77).has_value());
}

// Guards against tasks that are started by an owner which does not know yet whether its domain is evacuated.
TEST_CASE("No task starts before the operator's requests have been read")
{
    EvacuatedShard shard;
    shard.engine.holdStarts(true);
    shard.submit({}, 0);
    CHECK(shard.scheduleAndTake<StartTask>(1).empty());
    CHECK(shard.engine.forecast(makeSpec({ .id = "00000000000000a2" }), at(1), at(1)).meetsObjective());
    shard.engine.holdStarts(false);
    CHECK_EQ(shard.scheduleAndTake<StartTask>(2).size(), 1);
}

// Guards against the answer that a job has not run, although a run of an earlier attempt is still being stopped.
TEST_CASE("A job that was cancelled and submitted again is not sent on while its old run may be active")
{
    EvacuatedShard shard;
    const auto first = shard.submit({}, 0);
    const auto starts = shard.scheduleAndTake<StartTask>(1);
    REQUIRE_EQ(starts.size(), 1);
    shard.confirmStart(starts[0], 2);
    shard.engine.cancel(first, at(3));
    shard.submit({}, 4);
    shard.evacuate(5);
    shard.engine.advance(at(6));
    CHECK(shard.takeActionsOf<FinishJob>().empty());
    shard.reportEnd(starts[0], 1, RunEnd::Stopped, 30);
    shard.engine.advance(at(31));
    CHECK_EQ(shard.takeActionsOf<FinishJob>().size(), 1);
}

// Guards against a task that never fits on upstreams which are all cold.
TEST_CASE("A task that needs more than the usable share of a cold upstream runs there alone")
{
    EngineFixture fixture;
    auto info = makeUpstream("cold", 40'000);
    info.coldUntil = at(60'000);
    fixture.addUpstream(info);
    CHECK_LT(fixture.engine.load(at(1)).freeMilliCores, 11'000);
    fixture.submit({ .id = "00000000000000a1", .milliCores = 30'000 }, 1);
    CHECK_EQ(fixture.scheduleAndTake<StartTask>(1).size(), 1);
    CHECK_GE(fixture.engine.load(at(1)).freeMilliCores, 0);
    fixture.submit({ .id = "00000000000000a2", .milliCores = 5'000 }, 2);
    CHECK(fixture.scheduleAndTake<StartTask>(2).empty());
}

// Load: a burst of small tasks beside an upstream that has just started. Guards against an upstream that is filled with
// tasks which all take long, and against a rating that keeps it unused after it has become warm.
TEST_CASE("A cold upstream is brought up step by step and is not rated by its cold runs")
{
    EngineFixture fixture;
    auto info = makeUpstream("cold", 40'000);
    info.coldUntil = at(4'000);
    fixture.addUpstream(info);
    const auto startsAt = [&](int ms, const std::string& id) {
        fixture.submit({ .id = id, .tasks = 4 }, ms);
        return fixture.scheduleAndTake<StartTask>(ms);
    };
    const auto first = startsAt(100, "00000000000000a1");
    CHECK_EQ(first.size(), 1);
    fixture.confirmStart(first.at(0), 101);
    // Ten times the estimate, which would rate a warm upstream as very slow.
    fixture.reportEnd(first.at(0), 1, RunEnd::Done, 1'100);
    CHECK_EQ(fixture.engine.learned().logSlowness.count(info.id), 0);
    const auto warm = fixture.scheduleAndTake<StartTask>(4'000);
    CHECK_EQ(warm.size(), 3);
}

TEST_CASE("A warm upstream is preferred to a cold one")
{
    EngineFixture fixture;
    auto cold = makeUpstream("a-cold", 20'000);
    cold.coldUntil = at(60'000);
    fixture.addUpstream(cold);
    fixture.addUpstream(makeUpstream("b-warm", 20'000));
    fixture.submit({ .tasks = 3 }, 1);
    const auto starts = fixture.scheduleAndTake<StartTask>(1);
    REQUIRE_EQ(starts.size(), 3);
    CHECK_EQ(starts[0].upstream, UpstreamId("b-warm"));
    CHECK_EQ(starts[1].upstream, UpstreamId("b-warm"));
    CHECK_EQ(starts[2].upstream, UpstreamId("a-cold"));
}
