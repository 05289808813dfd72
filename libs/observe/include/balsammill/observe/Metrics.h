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

/// One finished call or task.
struct CallSample {
    MethodName method;
    ClientAccountName clientAccount;
    Duration response {};
    Duration queued {};
    /// Time on the upstream; zero if it never started.
    Duration run {};
    Verdict verdict { Verdict::NotRun };
    bool succeeded { false };
};

/// Counters, gauges, histograms and quantiles (Boost.Accumulators) of this process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void recordCall(const CallSample&);
    /// Adds to a counter; labels have the form key="value",... or are empty.
    void add(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
    void set(std::string_view name, std::string_view labels, double value);
    /// Adds a time in milliseconds to a histogram.
    void observe(std::string_view name, std::string_view labels, double milliseconds);

    /// Text exposition format for scrapers.
    std::string exposition() const;

    /// Upper bounds of the buckets of a histogram; from a round trip within a failure domain to a caller's patience.
    static constexpr std::array<double, 14> bucketsMs { 1, 2, 5, 10, 20, 50, 100, 150, 200, 400, 800, 1600, 3200,
        6400 };

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
