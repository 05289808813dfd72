#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Balsammill {

/// Counters, gauges and latency histograms of one entry, for one thread.
class NodeMetrics {
public:
    /// labels have the form key="value",... or are empty.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
    void gauge(std::string_view name, double value);
    void observeMs(std::string_view name, std::string_view labels, double milliseconds);
    /// Text exposition format.
    std::string exposition() const;

    /// Upper bounds of the buckets of a histogram; from a round trip within a failure domain to a client's patience.
    static constexpr std::array<double, 14> bucketsMs { 1, 2, 5, 10, 20, 50, 100, 150, 200, 400, 800, 1600, 3200,
        6400 };

private:
    struct Histogram {
        std::array<std::uint64_t, bucketsMs.size() + 1> counts {};
        double sum { 0 };
        std::uint64_t total { 0 };
    };
    using Key = std::pair<std::string, std::string>;
    std::map<Key, std::uint64_t> counters_;
    std::map<std::string, double> gauges_;
    std::map<Key, Histogram> histograms_;
};

} // namespace Balsammill
