#include "balsammill/shards/JobState.h"

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

} // namespace Balsammill::Shards
