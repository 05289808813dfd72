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

/// True if the event's subject is the given one or a task of it; an empty subject selects every event.
bool concernsSubject(std::string_view eventSubject, std::string_view subject);

struct TimelineEvent {
    /// Microseconds since the Unix epoch by the clock of this process.
    std::int64_t wallClockUs { 0 };
    std::uint64_t sequence { 0 };
    EventKind kind { EventKind::Received };
    /// Call id, job id, task id ("<job id>/<index>") or VM name.
    std::string subject;
    std::string detail;
};

struct TimelinePage {
    std::vector<TimelineEvent> events;
    /// Events that the ring has dropped since the start.
    std::uint64_t dropped { 0 };
};

/// Events of this process in a bounded ring. Thread-safe.
class Timeline {
public:
    explicit Timeline(std::size_t capacity);
    ~Timeline();

    void record(EventKind, std::string subject, std::string detail);
    /// Newest events that concern the subject or a task of it, oldest first; an empty subject selects all.
    TimelinePage read(std::string_view subject, std::size_t limit) const;

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
