#include "DispatchWork.h"

namespace Balsammill::Detail {

namespace {

// The weights are close together because the most urgent method may itself cause an overload: with one method of each
// urgency in a client account, the least urgent one still gets two ninths of the slots.
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
