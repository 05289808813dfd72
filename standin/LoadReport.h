#pragma once

#include "LoadRunner.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// p50, p90, p99 and maximum of a set of values; zeros if there are none.
struct Percentiles {
    double p50 { 0 };
    double p90 { 0 };
    double p99 { 0 };
    double max { 0 };
};

/// Takes the value at rank ceil(share * count), so that every figure was measured.
Percentiles percentilesOf(std::vector<double> values);

/// What the report says about one class. Times and slowdowns are those of completed calls.
struct ClassSummary {
    std::string name;
    std::string method;
    std::string clientAccount;
    std::size_t arrivals { 0 };
    std::map<CallOutcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> causes;
    Percentiles responseMs;
    Percentiles slowdown;
    double idealMs { 0 };
    /// By the time of the answer, so that a backlog at the end of the load does not count.
    double completedPerSecond { 0 };
    double maxSendDelayMs { 0 };
};

struct ReportRange {
    /// Arrivals before this time are left out.
    Duration from {};
    Duration length {};
};

ClassSummary summarize(const LoadClass&, Duration ideal, const LoadClassResult&, const ReportRange&);
std::string toJson(const std::vector<ClassSummary>&);
std::string toText(const std::vector<ClassSummary>&);

/// SVG of response time over time of arrival, by class: p50 as a line, p99 as a dashed one.
std::string plotResponses(const std::vector<std::pair<std::string, const LoadClassResult*>>&, Duration length);

} // namespace Balsammill::Standin
