#pragma once

#include "balsammill/base/StrongId.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Balsammill {

enum class EventKind {
    Received,
    Admitted,
    Queued,
    Forwarded,
    Started,
    Answered,
    Refused,
    Failed,
    Membership,
    Ownership,
    Configuration,
    Lifecycle,
};

std::string_view nameOf(EventKind);

/// Returns true if the event's subject is the given subject or one of its tasks. An empty subject matches every event.
bool matchesSubject(std::string_view eventSubject, std::string_view subject);

struct TimelineEvent {
    /// Wall-clock time in microseconds since the Unix epoch, by the clock of the recording process.
    std::int64_t wallClockUs { 0 };
    std::uint64_t sequence { 0 };
    EventKind kind { EventKind::Received };
    /// Call id, job id, task id ("<job id>/<index>") or VM name.
    std::string subject;
    std::string detail;
};

struct TimelinePage {
    std::vector<TimelineEvent> events;
    /// Number of events that the ring buffer has overwritten since the process started.
    std::uint64_t dropped { 0 };
};

/// Bounded ring buffer of the events of this process. Thread-safe.
class Timeline {
public:
    explicit Timeline(std::size_t capacity);
    ~Timeline();

    void record(EventKind, std::string subject, std::string detail);
    /// Returns the newest events of the subject and its tasks, oldest first. An empty subject selects all events.
    TimelinePage read(std::string_view subject, std::size_t limit) const;

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
