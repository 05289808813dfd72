#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/base/Verdict.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Balsammill {

/// Measurements of one finished call or task.
struct CallSample {
    MethodName method;
    ClientAccountName clientAccount;
    Duration response {};
    Duration queued {};
    /// Run time on the upstream; zero if the call never started.
    Duration run {};
    Verdict verdict { Verdict::NotRun };
    bool succeeded { false };
};

/// Counters, gauges, histograms and quantiles (estimated with Boost.Accumulators) of this process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void recordCall(const CallSample&);
    /// Adds to a counter. Labels have the form key="value",... or are empty.
    void add(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
    void set(std::string_view name, std::string_view labels, double value);
    /// Adds a duration in milliseconds to a histogram.
    void observe(std::string_view name, std::string_view labels, double milliseconds);

    /// Returns all metrics in the Prometheus text exposition format.
    std::string exposition() const;

    /// Upper bounds of the histogram buckets in milliseconds. They range from a round trip within a failure domain to
    /// the longest time that clients wait for an answer.
    static constexpr std::array<double, 14> bucketBoundsMs { 1, 2, 5, 10, 20, 50, 100, 150, 200, 400, 800, 1600, 3200,
        6400 };

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
