#pragma once

#include "LoadRunner.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// p50, p90, p99 and maximum of a set of values; zeros if the set is empty.
struct Percentiles {
    double p50 { 0 };
    double p90 { 0 };
    double p99 { 0 };
    double max { 0 };
};

/// Uses the nearest-rank method: the value at rank ceil(share * count). So every percentile is one of the values.
Percentiles percentilesOf(std::vector<double> values);

/// Report of one class. Response times and slowdowns cover completed calls only.
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
    /// Calls count by the time of their answer, so that a backlog that completes after the end of the load does not.
    double completedPerSecond { 0 };
    double maxSendDelayMs { 0 };
};

struct ReportRange {
    /// Earlier arrivals and answers are left out.
    Duration from {};
    Duration length {};
};

ClassSummary summarize(const LoadClass&, Duration ideal, const LoadClassResult&, const ReportRange&);
std::string toJson(const std::vector<ClassSummary>&);
std::string toText(const std::vector<ClassSummary>&);

/// Returns an SVG plot of response time over arrival time for each class: p50 as a solid line, p99 as a dashed line.
std::string plotResponses(const std::vector<std::pair<std::string, const LoadClassResult*>>&, Duration length);

} // namespace Balsammill::Standin
