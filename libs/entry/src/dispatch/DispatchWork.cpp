#include "DispatchWork.h"

namespace Balsammill::Detail {

namespace {

// Close weights, because an overload may come from the most urgent method: of three methods in a client account, the
// least urgent still keeps two ninths of the slots.
std::uint32_t weightOf(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Low:
        return 2;
    case Urgency::Normal:
        return 3;
    case Urgency::High:
        return 4;
    }
    return 3;
}

} // namespace

TaskSpec specOf(const DispatchWork& work)
{
    return {
        .id = work.id,
        .method = work.task.method,
        .clientAccount = work.task.clientAccount,
        .urgencyWeight = weightOf(work.task.urgency),
        .slots = work.task.slots,
        .declaredRunTime = work.task.declaredRunTime,
        .deadline = work.task.deadline,
        .methodQueueLimit = work.task.queueLimit,
        .avoidUpstream = work.failedUpstream,
    };
}

Duration queuedTime(const DispatchWork& work, TimePoint now)
{
    return (work.attempts > 0 ? work.startedAt : now) - work.submittedAt;
}

} // namespace Balsammill::Detail
