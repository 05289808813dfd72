#pragma once

#include "balsammill/entry/Dispatcher.h"

namespace Balsammill::Detail {

enum class WorkState {
    Queued,
    Running,
    Forwarded,
    Done,
};

/// One task that the dispatcher has not completed yet. The mutex of the core guards everything below the completion.
struct DispatchWork {
    TaskId id;
    DispatchTask task;
    DispatchCompletion completion;

    WorkState state { WorkState::Queued };
    TimePoint submittedAt;
    TimePoint startedAt;
    std::uint32_t attempts { 0 };
    /// Time of the last attempt that has ended.
    Duration run {};
    /// An attempt may have run, so no later refusal may say not-run.
    bool mayHaveRun { false };
    VmName failedUpstream;
    /// Until when the task waits for an entry with upstreams; the epoch while this one has some.
    TimePoint strandedUntil {};
};

TaskSpec specOf(const DispatchWork&);
/// Time before the last start, or until now if there was none.
Duration queuedTime(const DispatchWork&, TimePoint now);

} // namespace Balsammill::Detail
