#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/observe/Timeline.h"

#include <string>
#include <vector>

namespace Balsammill {

/// Events of one process and the offset that has to be subtracted from their times.
struct ProcessTimeline {
    VmName vm;
    std::int64_t clockOffsetUs { 0 };
    TimelinePage page;
};

struct MergedEvent {
    VmName vm;
    /// Time in microseconds since the Unix epoch, by the clock that the offsets refer to.
    std::int64_t correctedUs { 0 };
    TimelineEvent event;
};

struct TimelineFilter {
    /// Id of a call, job or task; a job includes its tasks. Empty selects all events.
    std::string subject {};
    /// Selects events recorded on this VM and events about it. Empty selects all events.
    VmName vm {};
};

/// Merges the events of several processes by corrected time. Keeps the recorded order of the events of each process,
/// even if its clock was set back in between.
std::vector<MergedEvent> mergeTimelines(const std::vector<ProcessTimeline>&, const TimelineFilter&);

/// Formats one line per event: "<UTC time> <vm> <kind> <subject> <detail>". Replaces control characters by '?'.
std::string timelineText(const std::vector<MergedEvent>&);

/// Formats the events as trace-event JSON for trace viewers. Each VM is a process. A start and the following end of the
/// same subject on the same VM form a span; every other event is an instant event.
std::string traceEventJson(const std::vector<MergedEvent>&);

} // namespace Balsammill
