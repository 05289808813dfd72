#include "balsammill/observe/TimelineMerge.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <tuple>

namespace Balsammill {

namespace {

bool matchesFilter(const TimelineFilter& filter, const MergedEvent& event)
{
    const bool vmMatches = filter.vm.empty() || event.vm == filter.vm || event.event.subject == filter.vm.value;
    return vmMatches && matchesSubject(event.event.subject, filter.subject);
}

std::string formatUtcTime(std::int64_t microseconds)
{
    constexpr std::int64_t perSecond = 1'000'000;
    auto seconds = static_cast<std::time_t>(microseconds / perSecond);
    auto fraction = microseconds % perSecond;
    if (fraction < 0) {
        fraction += perSecond;
        --seconds;
    }
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date {};
    const auto length = std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 16> rest {};
    std::snprintf(rest.data(), rest.size(), ".%06dZ", static_cast<int>(fraction));
    return std::string(date.data(), length) + rest.data();
}

void appendPrintable(std::string& text, const std::string& part)
{
    for (const char c : part)
        text += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
}

} // namespace

std::vector<MergedEvent> mergeTimelines(const std::vector<ProcessTimeline>& processes, const TimelineFilter& filter)
{
    std::vector<MergedEvent> merged;
    for (const auto& process : processes) {
        auto events = process.page.events;
        std::sort(events.begin(), events.end(),
            [](const TimelineEvent& first, const TimelineEvent& second) { return first.sequence < second.sequence; });
        std::int64_t latest = INT64_MIN;
        for (auto& event : events) {
            latest = std::max(latest, event.wallClockUs - process.clockOffsetUs);
            MergedEvent candidate { process.vm, latest, std::move(event) };
            if (matchesFilter(filter, candidate))
                merged.push_back(std::move(candidate));
        }
    }
    std::sort(merged.begin(), merged.end(), [](const MergedEvent& first, const MergedEvent& second) {
        return std::tie(first.correctedUs, first.vm, first.event.sequence)
            < std::tie(second.correctedUs, second.vm, second.event.sequence);
    });
    return merged;
}

std::string timelineText(const std::vector<MergedEvent>& events)
{
    std::string text;
    for (const auto& event : events) {
        text += formatUtcTime(event.correctedUs) + " ";
        appendPrintable(text, event.vm.value);
        text += " " + std::string(nameOf(event.event.kind)) + " ";
        appendPrintable(text, event.event.subject);
        if (!event.event.detail.empty())
            text += " ";
        appendPrintable(text, event.event.detail);
        text += "\n";
    }
    return text;
}

} // namespace Balsammill
