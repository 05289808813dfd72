#include "balsammill/shards/JobProgress.h"

#include <doctest/doctest.h>

using namespace Balsammill::Shards;

// Guards against failures that are counted twice or not at all.
TEST_CASE("The failures of a task are told apart by run number in any order")
{
    TaskProgress progress;
    CHECK_FALSE(progress.includesFailure(RunNumber(1)));
    for (const std::uint64_t run : { 1'033, 9, 2'057, 1'030 }) {
        CHECK_FALSE(progress.includesFailure(RunNumber(run)));
        progress.addFailure(RunNumber(run));
        CHECK(progress.includesFailure(RunNumber(run)));
    }
    CHECK_EQ(progress.failures, 4);
    CHECK_EQ(progress.countedRun.value, 2'057);
    CHECK_EQ(progress.earlierRuns, std::vector { RunNumber(9), RunNumber(1'030), RunNumber(1'033) });
    CHECK_FALSE(progress.includesFailure(RunNumber(10)));
}

// Guards against a job that fails too early: a failure that a former version counted is counted again.
TEST_CASE("A lower run number counts as included if the earlier runs are not known")
{
    const TaskProgress ofFormerVersion { .failures = 2, .countedRun = RunNumber(7) };
    CHECK(ofFormerVersion.includesFailure(RunNumber(3)));
    CHECK_FALSE(ofFormerVersion.includesFailure(RunNumber(8)));
    auto later = ofFormerVersion;
    later.addFailure(RunNumber(8));
    CHECK(later.includesFailure(RunNumber(3)));
    CHECK(later.includesFailure(RunNumber(7)));
    // One failure leaves no others.
    CHECK_FALSE(TaskProgress { .failures = 1, .countedRun = RunNumber(7) }.includesFailure(RunNumber(3)));
}
