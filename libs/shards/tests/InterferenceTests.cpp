#include "EngineFixture.h"

#include "balsammill/shards/InterferenceModel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>

using namespace Balsammill;
using namespace Balsammill::Shards;
using namespace Balsammill::Shards::Testing;

namespace {

// Variation of run times within a kind, and of speeds between upstreams, as natural logarithms.
constexpr double runTimeNoise = 0.15;
constexpr double speedSpread = 0.3;
constexpr int upstreams = 6;

/// Runs of two kinds whose neighbours are random. The second kind slows the first one down by a factor.
struct RandomRuns {
    InterferenceModel model;
    std::mt19937_64 random { 1 };
    int ms { 0 };
    TaskKind first;
    TaskKind second;

    RandomRuns()
        : first(kind("checks"))
        , second(kind("renders"))
    {
    }

    TaskKind kind(const std::string& queue) { return *model.kindOf(makeSpec({ .queue = queue }), StepSpec {}, at(ms)); }

    void play(int runs, double factor)
    {
        std::normal_distribution<double> noise(0, runTimeNoise);
        for (int i = 0; i < runs; ++i, ms += 10) {
            const auto kind = random() % 2 == 0 ? first : second;
            TaskKinds beside = 0;
            if (random() % 2 == 0)
                beside |= InterferenceModel::bitOf(first);
            if (random() % 2 == 0)
                beside |= InterferenceModel::bitOf(second);
            const auto upstream = random() % upstreams;
            const double speed = speedSpread * (static_cast<double>(upstream) / upstreams - 0.5);
            const bool slowed = kind == first && (beside & InterferenceModel::bitOf(second)) != 0;
            model.record(kind, UpstreamId("u" + std::to_string(upstream)),
                noise(random) + speed + (slowed ? std::log(factor) : 0), beside, at(ms));
        }
    }
};

/// Plays tasks of two queues on upstreams with room for two each. Tasks of "checks" take half as long again while one
/// of "renders" is on the same upstream. Returns how many of the "checks" were slowed.
class SharedUpstreams {
public:
    explicit SharedUpstreams(int count)
    {
        for (int i = 0; i < count; ++i)
            fixture_.addUpstream(makeUpstream("u" + std::to_string(i), 20'000));
    }

    struct Outcome {
        int completed { 0 };
        int slowed { 0 };
    };

    Outcome play(int ms, int intervalMs)
    {
        Outcome outcome;
        for (const int end = now_ + ms; now_ < end; ++now_) {
            if (now_ % intervalMs == 0) {
                submit("checks");
                submit("renders");
            }
            finishDue(outcome);
            fixture_.engine.schedule(at(now_));
            for (const auto& action : fixture_.engine.takeActions()) {
                if (const auto* start = std::get_if<StartTask>(&action))
                    begin(*start);
            }
        }
        return outcome;
    }

    const ShardEngine& engine() const { return fixture_.engine; }

private:
    struct Active {
        StartTask start;
        int endsAt { 0 };
        bool slowed { false };
    };

    void submit(const std::string& queue)
    {
        auto id = std::to_string(++jobs_);
        id.insert(0, 16 - id.size(), '0');
        fixture_.submit({ .id = id, .queue = queue, .stretch = 20 }, now_);
    }

    void begin(const StartTask& start)
    {
        fixture_.confirmStart(start, now_);
        const bool isCheck = start.job->queue == QueueName("checks");
        Active active { .start = start, .endsAt = now_ + 100 + static_cast<int>(random_() % 10) };
        for (auto& other : active_) {
            if (other.start.upstream != start.upstream || other.start.job->queue == start.job->queue)
                continue;
            auto& check = isCheck ? active : other;
            check.endsAt += check.slowed ? 0 : 50;
            check.slowed = true;
        }
        active_.push_back(active);
    }

    void finishDue(Outcome& outcome)
    {
        for (auto it = active_.begin(); it != active_.end();) {
            if (it->endsAt > now_) {
                ++it;
                continue;
            }
            ++outcome.completed;
            outcome.slowed += it->slowed ? 1 : 0;
            fixture_.reportEnd(it->start, ++sequence_[it->start.upstream], RunEnd::Done, now_);
            it = active_.erase(it);
        }
    }

    EngineFixture fixture_;
    std::vector<Active> active_;
    std::map<UpstreamId, std::uint64_t> sequence_;
    std::mt19937_64 random_ { 3 };
    int now_ { 0 };
    int jobs_ { 0 };
};

} // namespace

// Guards against a disturbance that is never noticed, or taken for the speed of the upstreams.
TEST_CASE("A kind that slows another one down is recognised within 400 runs, in its direction only")
{
    RandomRuns runs;
    runs.play(400, 1.5);
    const auto found = runs.model.interferences();
    REQUIRE_EQ(found.size(), 1);
    CHECK_EQ(found[0].kind, "checks");
    CHECK_EQ(found[0].beside, "renders");
    CHECK_GT(found[0].factor, 1.25);
    CHECK_LT(found[0].factor, 1.75);
    const auto besideSecond = InterferenceModel::bitOf(runs.second);
    CHECK_GT(runs.model.cost(runs.first, besideSecond), 0.25);
    // The loss of the tasks that run already counts as well.
    CHECK_GT(runs.model.cost(runs.second, InterferenceModel::bitOf(runs.first)), 0.25);
    CHECK_EQ(runs.model.cost(runs.second, besideSecond), 0);
}

// Guards against placements that random variation makes worse.
TEST_CASE("Random run times part no kinds")
{
    RandomRuns runs;
    for (int i = 0; i < 200; ++i) {
        runs.play(100, 1.0);
        CHECK(runs.model.interferences().empty());
    }
    CHECK(runs.model.takeChanges().empty());
}

TEST_CASE("A disturbance that ends is noticed, and one that begins later as well")
{
    RandomRuns runs;
    runs.play(400, 1.5);
    CHECK(runs.model.any());
    runs.play(1'200, 1.0);
    CHECK_FALSE(runs.model.any());
    runs.play(1'200, 1.5);
    CHECK(runs.model.any());
    const auto changes = runs.model.takeChanges();
    REQUIRE_EQ(changes.size(), 3);
    CHECK(changes[0].begins);
    CHECK_FALSE(changes[1].begins);
    CHECK(changes[2].begins);
}

// Guards against a model that grows with every queue that ever existed.
TEST_CASE("The number of kinds is bounded, and the place of a kind that is not used any more is taken")
{
    RandomRuns runs;
    for (std::size_t i = 2; i < InterferenceModel::maxKinds; ++i)
        runs.kind("queue" + std::to_string(i));
    CHECK_FALSE(runs.model.kindOf(makeSpec({ .queue = "one more" }), StepSpec {}, at(1)).has_value());
    CHECK(runs.model.kindOf(makeSpec({ .queue = "one more" }), StepSpec {}, at(600'000)).has_value());
}

TEST_CASE("Tasks of one image are of one kind, whatever their queue")
{
    InterferenceModel model;
    StepSpec step;
    step.image = "encoder";
    CHECK_EQ(
        model.kindOf(makeSpec({ .queue = "a" }), step, at(0)), model.kindOf(makeSpec({ .queue = "b" }), step, at(0)));
    CHECK_NE(model.kindOf(makeSpec({ .queue = "a" }), StepSpec {}, at(0)), model.kindOf(makeSpec({}), step, at(0)));
}

// Load: two queues on a fleet that is a third full. Guards against tasks that disturb each other on one upstream while
// others are idle.
TEST_CASE("Kinds that disturb each other are kept apart where there is room")
{
    SharedUpstreams shared(6);
    shared.play(20'000, 50);
    REQUIRE(shared.engine().interference().any());
    const auto after = shared.play(10'000, 50);
    INFO("slowed ", after.slowed, " of ", after.completed);
    CHECK_GT(after.completed, 380);
    CHECK_LT(after.slowed, after.completed / 20);
    CHECK_GT(shared.engine().placementsApart(), 0);
}

// Load: one upstream for both queues. Guards against tasks that wait because of a disturbance.
TEST_CASE("A fleet without room loses nothing")
{
    SharedUpstreams shared(1);
    shared.play(30'000, 200);
    const auto after = shared.play(10'000, 200);
    CHECK_GE(after.completed, 98);
}
