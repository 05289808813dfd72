#include "EngineFixture.h"

#include "balsammill/shards/Forecast.h"
#include "balsammill/shards/RunTimeModel.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

TEST_CASE("Declared estimates are corrected by the actual run times of the queue")
{
    RunTimeModel model;
    const auto spec = makeSpec({ .estimateMs = 100 });
    CHECK_EQ(model.predict(spec, spec.steps[0]).count() / 1000, 100);
    for (int i = 0; i < 300; ++i)
        model.record(spec, spec.steps[0], UpstreamId("u1"), milliseconds(200));
    const auto predicted = model.predict(spec, spec.steps[0]).count() / 1000;
    CHECK_GE(predicted, 190);
    CHECK_LE(predicted, 210);
}

TEST_CASE("An upstream that takes twice as long as the others is rated slower")
{
    RunTimeModel model;
    const auto spec = makeSpec({ .estimateMs = 100 });
    for (int i = 0; i < 200; ++i) {
        model.record(spec, spec.steps[0], UpstreamId("fast" + std::to_string(i % 9)), milliseconds(100));
        if (i % 10 == 0)
            model.record(spec, spec.steps[0], UpstreamId("slow"), milliseconds(200));
    }
    CHECK_GT(model.slowness(UpstreamId("slow")), 1.5);
    CHECK_LT(model.slowness(UpstreamId("fast1")), 1.2);
}

// Guards against predictions that shrink because only short tasks complete before they are stopped as overdue.
TEST_CASE("Stopped tasks do not lower the prediction")
{
    RunTimeModel model;
    const auto spec = makeSpec({ .estimateMs = 100 });
    for (int i = 0; i < 100; ++i)
        model.record(spec, spec.steps[0], UpstreamId("u1"), milliseconds(100));
    const auto before = model.predict(spec, spec.steps[0]);
    for (int i = 0; i < 100; ++i)
        model.recordStopped(spec, spec.steps[0], milliseconds(20));
    CHECK_GE(model.predict(spec, spec.steps[0]).count() + 1000, before.count());
}

TEST_CASE("The forecast assigns work to slots in the order in which they become free")
{
    Forecast forecast({ at(100), at(0), at(50) }, at(10));
    CHECK_EQ(forecast.nextStart(), at(10));
    CHECK_EQ(forecast.add({ .tasks = 2, .runTime = milliseconds(100) }, at(10)), at(150));
    CHECK_EQ(forecast.add({ .tasks = 1, .runTime = milliseconds(10) }, at(10)), at(110));
}

TEST_CASE("Without slots the forecast end of work is the maximum time")
{
    Forecast forecast({}, at(0));
    CHECK_EQ(forecast.add({ .tasks = 1, .runTime = milliseconds(1) }, at(0)), TimePoint::max());
}
