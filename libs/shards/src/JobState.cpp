#include "balsammill/shards/JobState.h"

#include <algorithm>

namespace Balsammill::Shards {

std::string_view nameOf(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Running:
        return "running";
    case JobState::Completed:
        return "completed";
    case JobState::Failed:
        return "failed";
    case JobState::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool isFinal(JobState state) { return state != JobState::Queued && state != JobState::Running; }

std::size_t JobStateRecord::completedOccurrences() const
{
    const auto listed = std::count_if(
        occurrences.begin(), occurrences.end(), [](const OccurrenceRecord& each) { return each.completed; });
    return static_cast<std::size_t>(listed) + (completions ? completions->count() : 0);
}

} // namespace Balsammill::Shards
