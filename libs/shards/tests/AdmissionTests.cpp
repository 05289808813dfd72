#include "EngineFixture.h"

#include "balsammill/shards/Admission.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

JobForecast lateForecast()
{
    return { .startAt = at(0),
        .endAt = at(900),
        .objectiveAt = at(220),
        .impossible = false,
        .displacedWork = {},
        .ownWork = {} };
}

} // namespace

// Guards against rejecting a job while another shard has free capacity for all of it.
TEST_CASE("A late job is redirected to the idle shard with the most free capacity, if it fits there with a margin")
{
    const auto spec = makeSpec({ .tasks = 4, .milliCores = 10'000 });
    const AdmissionRequest request { .job = spec,
        .forecast = lateForecast(),
        .others = { { .name = ShardName("a/0"), .freeMilliCores = 70'000, .waitingJobs = 0 },
            { .name = ShardName("b/0"), .freeMilliCores = 90'000, .waitingJobs = 0 },
            { .name = ShardName("c/0"), .freeMilliCores = 200'000, .waitingJobs = 3 },
            { .name = ShardName("d/0"), .freeMilliCores = 50'000, .waitingJobs = 0 } },
        .now = at(0) };
    const auto decision = decideAdmission(request);
    REQUIRE(std::holds_alternative<RedirectToShard>(decision));
    CHECK_EQ(std::get<RedirectToShard>(decision).shard.value, "b/0");
}

// Guards against refusing jobs of many tasks while upstreams of another shard are free: a shard rarely has much more
// capacity than such a job needs.
TEST_CASE("A late job is redirected to an idle shard that has little more capacity than the job needs")
{
    const auto spec = makeSpec({ .tasks = 8, .milliCores = 14'000 });
    const AdmissionRequest request { .job = spec,
        .forecast = lateForecast(),
        .others = { { .name = ShardName("a/0"), .freeMilliCores = 112'000, .waitingJobs = 0 },
            { .name = ShardName("b/0"), .freeMilliCores = 128'000, .waitingJobs = 0 } },
        .now = at(0) };
    const auto decision = decideAdmission(request);
    REQUIRE(std::holds_alternative<RedirectToShard>(decision));
    CHECK_EQ(std::get<RedirectToShard>(decision).shard.value, "b/0");
}

// Guards against clients that retry too early: after the returned time the same job would meet its objective.
TEST_CASE("A job that can meet its objective on no shard is rejected, to be retried after the time by which it is late")
{
    const auto spec = makeSpec({ .tasks = 4 });
    const auto decision = decideAdmission({ .job = spec, .forecast = lateForecast(), .others = {}, .now = at(0) });
    REQUIRE(std::holds_alternative<RefuseJob>(decision));
    CHECK_EQ(std::get<RefuseJob>(decision).retryAfter, Duration(milliseconds(680)));
}

// Guards against queueing a job that no upstream can ever run.
TEST_CASE("The forecast marks a job as impossible if its tasks fit on no upstream")
{
    EngineFixture fixture;
    fixture.addUpstream(makeUpstream("u1", 16'000));
    const auto forecast = fixture.engine.forecast(makeSpec({ .milliCores = 20'000 }), at(0), at(0));
    CHECK(forecast.impossible);
    CHECK_FALSE(forecast.meetsObjective());
}
