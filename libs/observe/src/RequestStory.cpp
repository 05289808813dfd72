#include "balsammill/observe/RequestStory.h"

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
    std::size_t at = 0;
    while (at < line.size()) {
        const auto equals = line.find('=', at);
        if (equals == std::string_view::npos)
            return {};
        const auto name = line.substr(at, equals - at);
        std::string value;
        at = equals + 1;
        if (at < line.size() && line[at] == '"') {
            for (++at; at < line.size() && line[at] != '"'; ++at) {
                if (line[at] == '\\' && at + 1 < line.size())
                    ++at;
                value.push_back(line[at]);
            }
            ++at;
        } else {
            for (; at < line.size() && line[at] != ' '; ++at)
                value.push_back(line[at]);
        }
        if (name == key)
            return value;
        while (at < line.size() && line[at] == ' ')
            ++at;
    }
    return {};
}

std::vector<std::string> requestStory(const std::vector<std::string>& lines, const StoryOptions& options)
{
    std::vector<TimedLine> own;
    std::vector<TimedLine> context;
    for (const auto& line : lines) {
        const auto time = timeOf(line);
        if (!time)
            continue;
        const auto id = logValue(line, "id");
        if (id == options.subject)
            own.push_back({ *time, &line });
        else if (id.empty())
            context.push_back({ *time, &line });
    }
    if (own.empty())
        return {};
    const auto byTime = [](const TimedLine& a, const TimedLine& b) { return a.timeMs < b.timeMs; };
    const auto [first, last] = std::minmax_element(own.begin(), own.end(), byTime);
    const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(options.context).count();
    const auto from = first->timeMs - margin;
    const auto until = last->timeMs + margin;
    for (const auto& line : context) {
        if (line.timeMs >= from && line.timeMs <= until)
            own.push_back(line);
    }
    std::stable_sort(own.begin(), own.end(), byTime);
    std::vector<std::string> story;
    story.reserve(own.size());
    for (const auto& line : own)
        story.push_back(*line.text);
    return story;
}

} // namespace Balsammill
