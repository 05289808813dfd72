#include "LoadClass.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>

namespace Balsammill::Standin {

namespace {

using Fields = std::map<std::string, std::string>;

Fields splitFields(const std::string& text)
{
    static const std::vector<std::string> known { "name", "method", "team", "rate", "jobs", "home", "flood_at",
        "flood_factor", "flood_for", "ideal_ms" };
    Fields fields;
    std::istringstream input(text);
    for (std::string field; std::getline(input, field, ',');) {
        const auto separator = field.find('=');
        const auto key = field.substr(0, separator);
        if (separator == std::string::npos || std::find(known.begin(), known.end(), key) == known.end())
            throw std::invalid_argument("unknown field \"" + field + "\"");
        fields[key] = field.substr(separator + 1);
    }
    return fields;
}

std::string requireText(const Fields& fields, const std::string& key)
{
    const auto found = fields.find(key);
    if (found == fields.end() || found->second.empty())
        throw std::invalid_argument("missing field \"" + key + "\" in a load class");
    return found->second;
}

std::optional<double> numberOf(const Fields& fields, const std::string& key)
{
    const auto found = fields.find(key);
    if (found == fields.end())
        return std::nullopt;
    std::size_t parsedLength = 0;
    double value = -1;
    try {
        value = std::stod(found->second, &parsedLength);
    } catch (const std::logic_error&) {
        parsedLength = 0;
    }
    if (parsedLength != found->second.size() || !std::isfinite(value) || value < 0)
        throw std::invalid_argument(key + " must be a number of at least 0, is \"" + found->second + "\"");
    return value;
}

std::optional<Duration> durationOf(const Fields& fields, const std::string& key, double microsecondsPerUnit)
{
    const auto value = numberOf(fields, key);
    if (!value)
        return std::nullopt;
    return Duration(std::llround(*value * microsecondsPerUnit));
}

} // namespace

LoadClass parseLoadClass(const std::string& text)
{
    const auto fields = splitFields(text);
    LoadClass result {
        .name = requireText(fields, "name"),
        .method = MethodName(requireText(fields, "method")),
        .rate = numberOf(fields, "rate").value_or(0),
        .tasksPerJob = static_cast<std::uint32_t>(numberOf(fields, "jobs").value_or(0)),
        .floodAt = durationOf(fields, "flood_at", 1e6),
        .floodFactor = numberOf(fields, "flood_factor").value_or(10),
        .floodFor = durationOf(fields, "flood_for", 1e6),
        .ideal = durationOf(fields, "ideal_ms", 1e3),
    };
    if (fields.contains("team"))
        result.clientAccount = ClientAccountName(requireText(fields, "team"));
    if (fields.contains("home"))
        result.homeFailureDomain = requireText(fields, "home");
    if (result.rate <= 0)
        throw std::invalid_argument("class \"" + result.name + "\" must have a rate above 0");
    return result;
}

std::vector<LoadClass> readMix(const std::string& path)
{
    std::ifstream input(path);
    if (!input)
        throw std::invalid_argument("cannot read " + path);
    std::vector<LoadClass> classes;
    for (std::string line; std::getline(input, line);) {
        if (!line.empty() && !line.starts_with('#'))
            classes.push_back(parseLoadClass(line));
    }
    return classes;
}

ArrivalProcess::ArrivalProcess(const LoadClass& load, Duration length, std::uint64_t seed)
    : random_(seed)
{
    if (load.floodAt) {
        const auto floodEnd = load.floodFor ? std::min(length, *load.floodAt + *load.floodFor) : length;
        phases_.push_back({ .end = std::min(length, *load.floodAt), .rate = load.rate });
        phases_.push_back({ .end = floodEnd, .rate = load.rate * load.floodFactor });
    }
    phases_.push_back({ .end = length, .rate = load.rate });
}

std::optional<Duration> ArrivalProcess::next()
{
    // An arrival after the end of a phase is discarded and drawn again from the end of the phase with the rate of the
    // next one. The arrivals remain a Poisson process, because the exponential distribution is memoryless.
    for (; phase_ < phases_.size(); ++phase_) {
        const auto& phase = phases_[phase_];
        if (phase.rate > 0) {
            std::exponential_distribution<double> interarrivalTime(phase.rate / 1e6);
            const auto candidate = time_ + std::chrono::duration<double, std::micro>(interarrivalTime(random_));
            if (candidate < phase.end) {
                time_ = candidate;
                return std::chrono::duration_cast<Duration>(time_);
            }
        }
        time_ = std::max<std::chrono::duration<double, std::micro>>(time_, phase.end);
    }
    return std::nullopt;
}

} // namespace Balsammill::Standin
