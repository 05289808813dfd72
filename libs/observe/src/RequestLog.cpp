#include "balsammill/observe/RequestLog.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace Balsammill {

namespace {

struct TimedLine {
    std::int64_t timeMs { 0 };
    const std::string* text { nullptr };
};

std::optional<std::int64_t> timeOf(std::string_view line)
{
    const auto text = logValue(line, "time");
    std::int64_t time = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), time);
    if (text.empty() || parsed.ec != std::errc())
        return std::nullopt;
    return time;
}

} // namespace

std::string logValue(std::string_view line, std::string_view key)
{
    std::size_t position = 0;
    while (position < line.size()) {
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos)
            return {};
        const auto name = line.substr(position, equals - position);
        std::string value;
        position = equals + 1;
        if (position < line.size() && line[position] == '"') {
            for (++position; position < line.size() && line[position] != '"'; ++position) {
                if (line[position] == '\\' && position + 1 < line.size())
                    ++position;
                value.push_back(line[position]);
            }
            ++position;
        } else {
            for (; position < line.size() && line[position] != ' '; ++position)
                value.push_back(line[position]);
        }
        if (name == key)
            return value;
        while (position < line.size() && line[position] == ' ')
            ++position;
    }
    return {};
}

std::vector<std::string> collectRequestLog(const std::vector<std::string>& lines, const RequestLogOptions& options)
{
    std::vector<TimedLine> requestLines;
    std::vector<TimedLine> contextLines;
    for (const auto& line : lines) {
        const auto time = timeOf(line);
        if (!time)
            continue;
        const auto id = logValue(line, "id");
        if (id == options.subject)
            requestLines.push_back({ *time, &line });
        else if (id.empty())
            contextLines.push_back({ *time, &line });
    }
    if (requestLines.empty())
        return {};
    const auto byTime = [](const TimedLine& a, const TimedLine& b) { return a.timeMs < b.timeMs; };
    const auto [first, last] = std::minmax_element(requestLines.begin(), requestLines.end(), byTime);
    const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(options.context).count();
    const auto startMs = first->timeMs - margin;
    const auto endMs = last->timeMs + margin;
    for (const auto& line : contextLines) {
        if (line.timeMs >= startMs && line.timeMs <= endMs)
            requestLines.push_back(line);
    }
    std::stable_sort(requestLines.begin(), requestLines.end(), byTime);
    std::vector<std::string> selectedLines;
    selectedLines.reserve(requestLines.size());
    for (const auto& line : requestLines)
        selectedLines.push_back(*line.text);
    return selectedLines;
}

} // namespace Balsammill
