#include "LoadReport.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Balsammill::Standin {

namespace {

constexpr std::array allOutcomes { CallOutcome::Completed, CallOutcome::Mismatched, CallOutcome::RefusedNotRun,
    CallOutcome::FailedMayHaveRun, CallOutcome::FailedRan, CallOutcome::NoAnswer, CallOutcome::NotConnected,
    CallOutcome::NotSent };

double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

std::uint64_t countOf(const ClassSummary& summary, CallOutcome outcome)
{
    const auto found = summary.outcomes.find(outcome);
    return found == summary.outcomes.end() ? 0 : found->second;
}

Poco::JSON::Object toObject(const Percentiles& percentiles)
{
    Poco::JSON::Object object;
    object.set("p50", percentiles.p50);
    object.set("p90", percentiles.p90);
    object.set("p99", percentiles.p99);
    object.set("max", percentiles.max);
    return object;
}

Poco::JSON::Object toObject(const ClassSummary& summary)
{
    Poco::JSON::Object object;
    object.set("name", summary.name);
    object.set("method", summary.method);
    object.set("team", summary.clientAccount);
    object.set("arrivals", static_cast<std::uint64_t>(summary.arrivals));
    for (const auto outcome : allOutcomes)
        object.set(std::string(nameOf(outcome)), countOf(summary, outcome));
    object.set("completed_per_second", summary.completedPerSecond);
    object.set("ideal_ms", summary.idealMs);
    object.set("response_ms", toObject(summary.responseMs));
    object.set("slowdown", toObject(summary.slowdown));
    object.set("max_send_delay_ms", summary.maxSendDelayMs);
    Poco::JSON::Object causes;
    for (const auto& [cause, count] : summary.causes)
        causes.set(cause, count);
    object.set("causes", causes);
    return object;
}

void writeRow(std::ostream& text, const ClassSummary& summary)
{
    const auto failed = countOf(summary, CallOutcome::FailedMayHaveRun) + countOf(summary, CallOutcome::FailedRan);
    const auto unanswered = countOf(summary, CallOutcome::NoAnswer) + countOf(summary, CallOutcome::NotConnected);
    text << std::left << std::setw(16) << summary.name << std::right << std::setw(9) << summary.arrivals
         << std::setw(10) << countOf(summary, CallOutcome::Completed) << std::setw(9)
         << countOf(summary, CallOutcome::RefusedNotRun) << std::setw(8) << failed << std::setw(11) << unanswered
         << std::setw(9) << countOf(summary, CallOutcome::NotSent) << std::setw(11)
         << countOf(summary, CallOutcome::Mismatched) << std::setw(10) << summary.responseMs.p50 << std::setw(10)
         << summary.responseMs.p99 << std::setw(8) << summary.slowdown.p50 << std::setw(8) << summary.slowdown.p90
         << std::setw(8) << summary.slowdown.p99 << std::setw(9) << summary.slowdown.max << std::setw(10)
         << summary.completedPerSecond << '\n';
}

} // namespace

Percentiles percentilesOf(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto at = [&](double share) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
        return values[std::max<std::size_t>(rank, 1) - 1];
    };
    return { .p50 = at(0.5), .p90 = at(0.9), .p99 = at(0.99), .max = values.back() };
}

ClassSummary summarize(const LoadClass& load, Duration ideal, const LoadClassResult& result, const ReportRange& range)
{
    ClassSummary summary { .name = load.name,
        .method = load.method.value,
        .clientAccount = load.clientAccount.value,
        .outcomes = {},
        .causes = result.causes,
        .responseMs = {},
        .slowdown = {},
        .idealMs = toMilliseconds(ideal),
        .maxSendDelayMs = toMilliseconds(result.maxSendDelay) };
    std::vector<double> responses;
    std::size_t completedInRange = 0;
    for (const auto& sample : result.samples) {
        const auto answeredAt = sample.arrival + sample.response;
        if (sample.outcome == CallOutcome::Completed && answeredAt >= range.from && answeredAt < range.length)
            ++completedInRange;
        if (sample.arrival < range.from)
            continue;
        ++summary.arrivals;
        ++summary.outcomes[sample.outcome];
        if (sample.outcome == CallOutcome::Completed)
            responses.push_back(toMilliseconds(sample.response));
    }
    summary.completedPerSecond
        = static_cast<double>(completedInRange) / std::chrono::duration<double>(range.length - range.from).count();
    summary.responseMs = percentilesOf(responses);
    if (ideal > Duration::zero()) {
        for (auto& response : responses)
            response /= summary.idealMs;
        summary.slowdown = percentilesOf(std::move(responses));
    }
    return summary;
}

std::string toJson(const std::vector<ClassSummary>& summaries)
{
    Poco::JSON::Array classes;
    for (const auto& summary : summaries)
        classes.add(toObject(summary));
    Poco::JSON::Object report;
    report.set("classes", classes);
    std::ostringstream text;
    report.stringify(text, 2);
    return text.str() + "\n";
}

std::string toText(const std::vector<ClassSummary>& summaries)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2)
         << "class            arrivals completed  refused  failed unanswered not sent mismatched  p50 ms    p99 ms"
            "  slow50  slow90  slow99  slowmax    done/s\n";
    for (const auto& summary : summaries)
        writeRow(text, summary);
    for (const auto& summary : summaries) {
        for (const auto& [cause, count] : summary.causes)
            text << summary.name << ": " << count << " x " << cause << '\n';
        text << summary.name << ": largest send delay " << summary.maxSendDelayMs << " ms\n";
    }
    return text.str();
}

} // namespace Balsammill::Standin
