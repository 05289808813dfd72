#include "balsammill/shards/JobProgress.h"

#include <algorithm>

namespace Balsammill::Shards {

bool TaskProgress::includesFailure(RunNumber run) const
{
    if (failures == 0 || run > countedRun)
        return false;
    const bool allKnown = earlierRuns.size() + 1 >= failures;
    return run == countedRun || !allKnown || std::binary_search(earlierRuns.begin(), earlierRuns.end(), run);
}

void TaskProgress::addFailure(RunNumber run)
{
    const auto [lower, higher] = std::minmax(run, countedRun);
    if (failures > 0)
        earlierRuns.insert(std::upper_bound(earlierRuns.begin(), earlierRuns.end(), lower), lower);
    countedRun = higher;
    ++failures;
}

} // namespace Balsammill::Shards
