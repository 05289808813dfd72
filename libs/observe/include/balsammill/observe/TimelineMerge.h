#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/observe/Timeline.h"

#include <string>
#include <vector>

namespace Balsammill {

/// Events of one process and what has to be subtracted from its clock.
struct ProcessTimeline {
    VmName vm;
    std::int64_t clockOffsetUs { 0 };
    TimelinePage page;
};

struct MergedEvent {
    VmName vm;
    /// By the clock that the offsets refer to.
    std::int64_t correctedUs { 0 };
    TimelineEvent event;
};

struct TimelineFilter {
    /// Call, job or task; a job includes its tasks. Empty for all.
    std::string subject {};
    /// Events of this process, and events about this VM. Empty for all.
    VmName vm {};
};

/// Merges the events of several processes by corrected time. Events of one process stay in their order, even if its
/// clock was set back between them.
std::vector<MergedEvent> mergeTimelines(const std::vector<ProcessTimeline>&, const TimelineFilter&);

/// One line per event: "<UTC time> <vm> <kind> <subject> <detail>". Control characters are replaced by '?'.
std::string timelineText(const std::vector<MergedEvent>&);

/// Trace-event JSON, as trace viewers open it: one process per VM, a span from each start to the end of the same
/// subject on the same VM, and an instant for every other event.
std::string traceEventJson(const std::vector<MergedEvent>&);

} // namespace Balsammill
