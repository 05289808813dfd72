#pragma once

#include "balsammill/entry/Dispatcher.h"

namespace Balsammill::Detail {

enum class WorkState {
    Queued,
    Running,
    Forwarded,
    Done,
};

/// One task that the dispatcher has not completed yet. The members after completion are guarded by the core's mutex.
struct DispatchWork {
    TaskId id;
    DispatchTask task;
    DispatchCompletion completion;

    WorkState state { WorkState::Queued };
    TimePoint submittedAt;
    TimePoint startedAt;
    std::uint32_t attempts { 0 };
    /// Duration of the last finished attempt.
    Duration run {};
    /// An earlier attempt may have run, so the task must not be reported as not-run any more.
    bool mayHaveRun { false };
    VmName failedUpstream;
    /// When to fail a task that waits although no upstream is available here; the epoch if it is not stranded.
    TimePoint strandedDeadline {};
};

TaskSpec specOf(const DispatchWork&);
/// Time from submission to the start of the last attempt, or to now if there was none.
Duration queuedTime(const DispatchWork&, TimePoint now);

} // namespace Balsammill::Detail
