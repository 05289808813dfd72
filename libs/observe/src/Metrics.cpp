#include "balsammill/observe/Metrics.h"

#include "QuantileEstimator.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <stdexcept>

namespace Balsammill {

namespace {

// The client account is taken from a request header, so the number of series has to be bounded. Calls beyond the limit
// share one series.
constexpr std::size_t maxCallSeries = 1024;
constexpr auto overflowLabel = "other";

constexpr std::array<double, 4> exportedQuantiles { 0.5, 0.9, 0.99, 0.999 };
constexpr std::array<Verdict, 3> verdicts { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran };

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::string formatNumber(double value)
{
    std::array<char, 40> buffer {};
    const int length = std::snprintf(buffer.data(), buffer.size(), "%.9g", value);
    return { buffer.data(), static_cast<std::size_t>(length) };
}

std::string escapeLabel(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        if (c == '\\' || c == '"')
            escaped += '\\';
        escaped += c;
    }
    return escaped;
}

void appendSample(std::string& text, std::string_view name, std::string_view labels, std::string_view value)
{
    text.append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(value).append("\n");
}

void requireMetricName(std::string_view name)
{
    const auto isLetter
        = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_' || c == ':'; };
    bool valid = !name.empty() && isLetter(name.front());
    for (const char c : name)
        valid = valid && (isLetter(c) || (c >= '0' && c <= '9'));
    if (!valid)
        throw std::invalid_argument("metric name: expected letters, digits and '_', got '" + std::string(name) + "'");
}

/// Statistics of the calls of one method by one client account.
struct CallSeries {
    std::mutex mutex;
    Detail::QuantileEstimator response;
    Detail::QuantileEstimator queued;
    Detail::QuantileEstimator slowdown;
    // Number of calls, indexed by verdict, then by success.
    std::array<std::array<std::uint64_t, 2>, 3> outcomes {};
};

/// Values by metric name and labels. Values are created under the exclusive lock and updated under the shared lock.
template <typename Value> class ValueTable {
public:
    template <typename Update> void update(std::string_view name, std::string_view labels, Update updateValue)
    {
        {
            std::shared_lock lock(mutex_);
            auto byLabels = values_.find(name);
            if (byLabels != values_.end()) {
                auto value = byLabels->second.find(labels);
                if (value != byLabels->second.end()) {
                    updateValue(value->second);
                    return;
                }
            }
        }
        requireMetricName(name);
        std::unique_lock lock(mutex_);
        auto& byLabels = values_.try_emplace(std::string(name)).first->second;
        updateValue(byLabels.try_emplace(std::string(labels), Value {}).first->second);
    }

    template <typename Format> void append(std::string& text, std::string_view type, Format format) const
    {
        std::shared_lock lock(mutex_);
        for (const auto& [name, byLabels] : values_) {
            text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
            for (const auto& [labels, value] : byLabels)
                appendSample(text, name, labels, format(value.load()));
        }
    }

private:
    mutable std::shared_mutex mutex_;
    std::map<std::string, std::map<std::string, std::atomic<Value>, std::less<>>, std::less<>> values_;
};

/// Histograms by metric name and labels. Stored bucket counts are not cumulative; append() accumulates them.
class HistogramTable {
public:
    void add(std::string_view name, std::string_view labels, double milliseconds)
    {
        requireMetricName(name);
        std::size_t bucket = 0;
        while (bucket < Metrics::bucketBoundsMs.size() && milliseconds > Metrics::bucketBoundsMs.at(bucket))
            ++bucket;
        std::lock_guard lock(mutex_);
        auto& histogram = histograms_[std::string(name)][std::string(labels)];
        ++histogram.counts.at(bucket);
        histogram.sum += milliseconds;
        ++histogram.total;
    }

    void append(std::string& text) const
    {
        std::lock_guard lock(mutex_);
        for (const auto& [name, byLabels] : histograms_) {
            text.append("# TYPE ").append(name).append(" histogram\n");
            for (const auto& [labels, histogram] : byLabels)
                append(text, name, labels, histogram);
        }
    }

private:
    struct Histogram {
        std::array<std::uint64_t, Metrics::bucketBoundsMs.size() + 1> counts {};
        double sum { 0 };
        std::uint64_t total { 0 };
    };

    static void append(
        std::string& text, const std::string& name, const std::string& labels, const Histogram& histogram)
    {
        const auto bucketLabels = labels.empty() ? std::string() : labels + ",";
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < Metrics::bucketBoundsMs.size(); ++i) {
            cumulative += histogram.counts.at(i);
            appendSample(text, name + "_bucket",
                bucketLabels + "le=\"" + formatNumber(Metrics::bucketBoundsMs.at(i)) + "\"",
                std::to_string(cumulative));
        }
        appendSample(text, name + "_bucket", bucketLabels + "le=\"+Inf\"", std::to_string(histogram.total));
        appendSample(text, name + "_sum", labels, formatNumber(histogram.sum));
        appendSample(text, name + "_count", labels, std::to_string(histogram.total));
    }

    mutable std::mutex mutex_;
    std::map<std::string, std::map<std::string, Histogram>> histograms_;
};

using CallKey = std::pair<MethodName, ClientAccountName>;

std::string callLabels(const CallKey& key)
{
    return "method=\"" + escapeLabel(key.first.value) + "\",team=\"" + escapeLabel(key.second.value) + "\"";
}

} // namespace

struct Metrics::Detail {
    CallSeries& seriesOf(const CallSample&);
    template <typename Visit> void forEachSeries(Visit) const;
    void appendSummary(std::string&, std::string_view name, Balsammill::Detail::QuantileEstimator CallSeries::*) const;
    void appendOutcomes(std::string&) const;
    bool hasCalls() const
    {
        std::shared_lock lock(mutex);
        return !calls.empty();
    }

    mutable std::shared_mutex mutex;
    std::map<CallKey, std::unique_ptr<CallSeries>> calls;
    ValueTable<std::uint64_t> counters;
    ValueTable<double> gauges;
    HistogramTable histograms;
};

CallSeries& Metrics::Detail::seriesOf(const CallSample& sample)
{
    CallKey key { sample.method, sample.clientAccount };
    {
        std::shared_lock lock(mutex);
        if (auto found = calls.find(key); found != calls.end())
            return *found->second;
    }
    std::unique_lock lock(mutex);
    if (calls.size() >= maxCallSeries && !calls.contains(key))
        key = { MethodName(overflowLabel), ClientAccountName(overflowLabel) };
    auto& series = calls[key];
    if (!series)
        series = std::make_unique<CallSeries>();
    return *series;
}

template <typename Visit> void Metrics::Detail::forEachSeries(Visit visit) const
{
    std::shared_lock lock(mutex);
    for (const auto& [key, series] : calls) {
        std::lock_guard seriesLock(series->mutex);
        visit(callLabels(key), *series);
    }
}

void Metrics::Detail::appendSummary(
    std::string& text, std::string_view name, Balsammill::Detail::QuantileEstimator CallSeries::*member) const
{
    text.append("# TYPE ").append(name).append(" summary\n");
    forEachSeries([&](const std::string& labels, const CallSeries& series) {
        const auto& estimator = series.*member;
        if (estimator.count() == 0)
            return;
        for (const double probability : exportedQuantiles) {
            appendSample(text, name, labels + ",quantile=\"" + formatNumber(probability) + "\"",
                formatNumber(estimator.quantile(probability)));
        }
        appendSample(text, std::string(name) + "_sum", labels, formatNumber(estimator.sum()));
        appendSample(text, std::string(name) + "_count", labels, std::to_string(estimator.count()));
    });
}

void Metrics::Detail::appendOutcomes(std::string& text) const
{
    constexpr std::string_view name = "balsammill_calls_total";
    text.append("# TYPE ").append(name).append(" counter\n");
    forEachSeries([&](const std::string& labels, const CallSeries& series) {
        for (const auto verdict : verdicts) {
            for (const bool succeeded : { false, true }) {
                const auto count = series.outcomes.at(static_cast<std::size_t>(verdict)).at(succeeded ? 1 : 0);
                if (count == 0)
                    continue;
                const auto outcome = std::string(",verdict=\"") + std::string(nameOf(verdict)) + "\",succeeded=\""
                    + (succeeded ? "true" : "false") + "\"";
                appendSample(text, name, labels + outcome, std::to_string(count));
            }
        }
    });
}

Metrics::Metrics()
    : detail_(std::make_unique<Detail>())
{
}

Metrics::~Metrics() = default;

void Metrics::recordCall(const CallSample& sample)
{
    auto& series = detail_->seriesOf(sample);
    std::lock_guard lock(series.mutex);
    ++series.outcomes.at(static_cast<std::size_t>(sample.verdict)).at(sample.succeeded ? 1 : 0);
    series.response.add(toSeconds(sample.response));
    series.queued.add(toSeconds(sample.queued));
    // Slowdown is the response time relative to the run time on the upstream, which is the ideal response time. It is
    // not defined for calls that did not finish there.
    if (sample.succeeded && sample.run > Duration::zero())
        series.slowdown.add(toSeconds(sample.response) / toSeconds(sample.run));
}

void Metrics::add(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    detail_->counters.update(name, labels, [amount](auto& value) { value.fetch_add(amount); });
}

void Metrics::set(std::string_view name, std::string_view labels, double newValue)
{
    detail_->gauges.update(name, labels, [newValue](auto& value) { value.store(newValue); });
}

void Metrics::observe(std::string_view name, std::string_view labels, double milliseconds)
{
    detail_->histograms.add(name, labels, milliseconds);
}

std::string Metrics::exposition() const
{
    std::string text;
    if (detail_->hasCalls()) {
        detail_->appendOutcomes(text);
        detail_->appendSummary(text, "balsammill_response_seconds", &CallSeries::response);
        detail_->appendSummary(text, "balsammill_queue_seconds", &CallSeries::queued);
        detail_->appendSummary(text, "balsammill_slowdown", &CallSeries::slowdown);
    }
    detail_->counters.append(text, "counter", [](std::uint64_t value) { return std::to_string(value); });
    detail_->gauges.append(text, "gauge", [](double value) { return formatNumber(value); });
    detail_->histograms.append(text);
    return text;
}

} // namespace Balsammill
