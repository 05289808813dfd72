#include "balsammill/policy/Scheduler.h"

namespace Balsammill {

std::string_view nameOf(TaskOutcome outcome)
{
    switch (outcome) {
    case TaskOutcome::Succeeded:
        return "succeeded";
    case TaskOutcome::ApplicationError:
        return "application-error";
    case TaskOutcome::UpstreamError:
        return "upstream-error";
    case TaskOutcome::ConnectionFailed:
        return "connection-failed";
    case TaskOutcome::TimedOut:
        return "timed-out";
    case TaskOutcome::RefusedFull:
        return "refused-full";
    case TaskOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view nameOf(UpstreamHealth health)
{
    switch (health) {
    case UpstreamHealth::Healthy:
        return "healthy";
    case UpstreamHealth::Ejected:
        return "ejected";
    case UpstreamHealth::Probing:
        return "probing";
    case UpstreamHealth::Leaving:
        return "leaving";
    }
    return "unknown";
}

} // namespace Balsammill
