#include "balsammill/observe/StructuredLog.h"

#include "balsammill/base/StableHash.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Balsammill {

namespace {

// The writer thread collects lines for this long and then writes them as one batch.
constexpr auto writeInterval = std::chrono::milliseconds(100);
constexpr int pollTimeoutMs = 100;

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void appendValue(std::string& line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string_view::npos;
    if (plain) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\')
            line.push_back('\\');
        line.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    line.push_back('"');
}

} // namespace

struct StructuredLog::Detail {
    struct LineLimit {
        std::int64_t second { 0 };
        std::uint32_t written { 0 };
        std::uint64_t suppressed { 0 };
    };

    Options options;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable drained;
    std::string buffer;
    std::unordered_map<std::string, LineLimit> lineLimits;
    std::uint64_t dropped { 0 };
    std::uint64_t droppedReported { 0 };
    bool writing { false };
    bool stopping { false };
    std::thread writer;

    void append(std::string_view name, const LogField* begin, const LogField* end)
    {
        std::string line = "time=" + std::to_string(wallClockMs()) + " vm=" + options.vm + " event=";
        line.append(name);
        for (const auto* field = begin; field != end; ++field) {
            line.push_back(' ');
            line.append(field->key).push_back('=');
            appendValue(line, field->value);
        }
        line.push_back('\n');
        if (buffer.size() + line.size() > options.bufferBytes) {
            ++dropped;
            return;
        }
        const bool first = buffer.empty();
        buffer.append(line);
        if (first)
            wake.notify_one();
    }

    void run()
    {
        std::unique_lock lock(mutex);
        while (true) {
            wake.wait(lock, [this] { return stopping || !buffer.empty(); });
            if (buffer.empty() && stopping)
                return;
            if (!stopping)
                wake.wait_for(lock, writeInterval, [this] { return stopping; });
            if (dropped != droppedReported) {
                droppedReported = dropped;
                buffer.append("time=" + std::to_string(wallClockMs()) + " vm=" + options.vm
                    + " event=log.dropped lines=" + std::to_string(dropped) + "\n");
            }
            std::string text;
            text.swap(buffer);
            writing = true;
            lock.unlock();
            writeAll(text);
            lock.lock();
            writing = false;
            drained.notify_all();
            if (stopping && buffer.empty())
                return;
        }
    }

    void writeAll(std::string_view text)
    {
        while (!text.empty()) {
            pollfd ready { .fd = options.fileDescriptor, .events = POLLOUT, .revents = 0 };
            if (poll(&ready, 1, pollTimeoutMs) == 0) {
                const std::lock_guard lock(mutex);
                if (stopping)
                    return;
                continue;
            }
            const auto count = ::write(options.fileDescriptor, text.data(), std::min<std::size_t>(text.size(), 4096));
            if (count < 0 && errno == EINTR)
                continue;
            if (count <= 0) {
                // A failed write of the log cannot be logged. The count of dropped lines is exported as a metric.
                const std::lock_guard lock(mutex);
                ++dropped;
                return;
            }
            text.remove_prefix(static_cast<std::size_t>(count));
        }
    }
};

StructuredLog::StructuredLog(const Options& options)
    : detail_(std::make_unique<Detail>())
{
    detail_->options = options;
    detail_->writer = std::thread([detail = detail_.get()] { detail->run(); });
}

StructuredLog::~StructuredLog()
{
    {
        const std::lock_guard lock(detail_->mutex);
        detail_->stopping = true;
    }
    detail_->wake.notify_one();
    detail_->writer.join();
}

void StructuredLog::event(std::string_view name, LogFields fields)
{
    const std::lock_guard lock(detail_->mutex);
    auto& limit = detail_->lineLimits[std::string(name)];
    const auto second = wallClockMs() / 1000;
    if (second != limit.second) {
        const auto suppressed = limit.suppressed;
        limit = { .second = second, .written = 0, .suppressed = 0 };
        if (suppressed > 0) {
            const LogField counts[] = { { "of", name }, { "lines", suppressed } };
            detail_->append("log.left_out", std::begin(counts), std::end(counts));
        }
    }
    if (limit.written >= detail_->options.linesPerSecond) {
        ++limit.suppressed;
        return;
    }
    ++limit.written;
    detail_->append(name, fields.begin(), fields.end());
}

bool StructuredLog::isSampled(std::string_view requestId) const
{
    return stableHash(requestId) % detail_->options.sampleOneIn == 0;
}

std::uint64_t StructuredLog::droppedLines() const
{
    const std::lock_guard lock(detail_->mutex);
    return detail_->dropped;
}

void StructuredLog::flush(TimePoint deadline)
{
    std::unique_lock lock(detail_->mutex);
    detail_->wake.notify_one();
    detail_->drained.wait_until(lock, deadline, [this] { return detail_->buffer.empty() && !detail_->writing; });
}

} // namespace Balsammill
