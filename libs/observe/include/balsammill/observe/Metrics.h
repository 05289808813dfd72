#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/base/Verdict.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace Balsammill {

/// One finished call or task.
struct CallSample {
    MethodName method;
    TeamName team;
    Duration response {};
    Duration queued {};
    /// Time on the upstream; zero if it never started.
    Duration run {};
    Verdict verdict { Verdict::NotRun };
    bool succeeded { false };
};

/// Counters, gauges and quantiles (Boost.Accumulators) of this process. Thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void recordCall(const CallSample&);
    /// Adds to a counter; labels have the form key="value",... or are empty.
    void add(std::string_view name, std::string_view labels, std::uint64_t amount);
    void set(std::string_view name, std::string_view labels, double value);

    /// Text exposition format for scrapers.
    std::string exposition() const;

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
