#include "NodeMetrics.h"

#include <sstream>

namespace Balsammill {

namespace {

std::string braces(const std::string& labels) { return labels.empty() ? std::string() : "{" + labels + "}"; }

} // namespace

void NodeMetrics::count(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    counters_[Key(name, labels)] += amount;
}

void NodeMetrics::gauge(std::string_view name, double value) { gauges_[std::string(name)] = value; }

void NodeMetrics::observeMs(std::string_view name, std::string_view labels, double milliseconds)
{
    auto& histogram = histograms_[Key(name, labels)];
    std::size_t bucket = 0;
    while (bucket < bucketsMs.size() && milliseconds > bucketsMs[bucket])
        ++bucket;
    ++histogram.counts[bucket];
    histogram.sum += milliseconds;
    ++histogram.total;
}

std::string NodeMetrics::exposition() const
{
    std::ostringstream text;
    for (const auto& [key, value] : counters_)
        text << "balsammill_" << key.first << "_total" << braces(key.second) << ' ' << value << '\n';
    for (const auto& [name, value] : gauges_)
        text << "balsammill_" << name << ' ' << value << '\n';
    for (const auto& [key, histogram] : histograms_) {
        const auto separator = key.second.empty() ? "" : ",";
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < bucketsMs.size(); ++i) {
            cumulative += histogram.counts[i];
            text << "balsammill_" << key.first << "_ms_bucket{" << key.second << separator << "le=\"" << bucketsMs[i]
                 << "\"} " << cumulative << '\n';
        }
        text << "balsammill_" << key.first << "_ms_bucket{" << key.second << separator << "le=\"+Inf\"} "
             << histogram.total << '\n';
        text << "balsammill_" << key.first << "_ms_sum" << braces(key.second) << ' ' << histogram.sum << '\n';
        text << "balsammill_" << key.first << "_ms_count" << braces(key.second) << ' ' << histogram.total << '\n';
    }
    return text.str();
}

} // namespace Balsammill
