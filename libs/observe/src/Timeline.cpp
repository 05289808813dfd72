#include "balsammill/observe/Timeline.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <stdexcept>

namespace Balsammill {

namespace {

std::int64_t wallClockNowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

std::string_view nameOf(EventKind kind)
{
    switch (kind) {
    case EventKind::Received:
        return "received";
    case EventKind::Admitted:
        return "admitted";
    case EventKind::Queued:
        return "queued";
    case EventKind::Forwarded:
        return "forwarded";
    case EventKind::Started:
        return "started";
    case EventKind::Answered:
        return "answered";
    case EventKind::Refused:
        return "refused";
    case EventKind::Failed:
        return "failed";
    case EventKind::Membership:
        return "membership";
    case EventKind::Ownership:
        return "ownership";
    case EventKind::Configuration:
        return "configuration";
    case EventKind::Lifecycle:
        return "lifecycle";
    }
    return "unknown";
}

bool matchesSubject(std::string_view eventSubject, std::string_view subject)
{
    if (subject.empty() || eventSubject == subject)
        return true;
    return eventSubject.size() > subject.size() && eventSubject.starts_with(subject)
        && eventSubject[subject.size()] == '/';
}

// Slots are guarded by striped mutexes, so that a reader that scans the ring delays a writer by at most the copy of one
// event.
struct Timeline::Detail {
    explicit Detail(std::size_t capacity)
        : slots(capacity)
    {
    }

    std::mutex& mutexOf(std::size_t slot) { return mutexes.at(slot % mutexes.size()); }

    std::vector<TimelineEvent> slots;
    std::array<std::mutex, 64> mutexes;
    std::atomic<std::uint64_t> lastSequence { 0 };
};

Timeline::Timeline(std::size_t capacity)
{
    if (capacity == 0)
        throw std::invalid_argument("timeline capacity: expected at least 1, got 0");
    detail_ = std::make_unique<Detail>(capacity);
}

Timeline::~Timeline() = default;

void Timeline::record(EventKind kind, std::string subject, std::string detail)
{
    TimelineEvent event { wallClockNowUs(), detail_->lastSequence.fetch_add(1) + 1, kind, std::move(subject),
        std::move(detail) };
    const auto slot = static_cast<std::size_t>(event.sequence % detail_->slots.size());
    {
        std::lock_guard lock(detail_->mutexOf(slot));
        // Other writers may have wrapped around the ring since this event got its sequence number. It must not replace
        // their newer event.
        if (detail_->slots[slot].sequence < event.sequence)
            std::swap(detail_->slots[slot], event);
    }
    // Destroying the replaced event here keeps the deallocation outside the lock.
}

TimelinePage Timeline::read(std::string_view subject, std::size_t limit) const
{
    const auto capacity = detail_->slots.size();
    const auto last = detail_->lastSequence.load();
    const auto oldest = last > capacity ? last - capacity + 1 : 1;
    TimelinePage page;
    page.dropped = oldest - 1;
    for (auto sequence = last; sequence >= oldest && page.events.size() < limit; --sequence) {
        const auto slot = static_cast<std::size_t>(sequence % capacity);
        std::lock_guard lock(detail_->mutexOf(slot));
        const auto& event = detail_->slots[slot];
        if (event.sequence == sequence && matchesSubject(event.subject, subject))
            page.events.push_back(event);
    }
    std::reverse(page.events.begin(), page.events.end());
    return page;
}

} // namespace Balsammill
