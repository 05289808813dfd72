#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Balsammill {

/// One key-value pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;

    LogField(std::string_view name, std::string text)
        : key(name)
        , value(std::move(text))
    {
    }
    LogField(std::string_view name, std::string_view text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, const char* text)
        : key(name)
        , value(text)
    {
    }
    LogField(std::string_view name, std::int64_t number)
        : key(name)
        , value(std::to_string(number))
    {
    }
    LogField(std::string_view name, std::uint64_t number)
        : key(name)
        , value(std::to_string(number))
    {
    }
};

using LogFields = std::initializer_list<LogField>;

/// Writes events as logfmt lines ("time=... vm=... event=... key=value ...") to a file descriptor. A separate thread
/// writes the lines from a bounded buffer, so that a stalled reader never blocks the caller. Lines that do not fit into
/// the buffer are dropped; a log line reports their number. Thread-safe.
class StructuredLog {
public:
    struct Options {
        std::string vm;
        int fileDescriptor { 1 };
        /// Maximum number of lines per second for each event name; further lines are suppressed and counted.
        std::uint32_t linesPerSecond { 100 };
        /// Log lines are written for one in this many requests. Failures are always logged.
        std::uint32_t sampleOneIn { 16 };
        std::size_t bufferBytes { 256 * 1024 };
    };

    explicit StructuredLog(const Options&);
    ~StructuredLog();
    StructuredLog(const StructuredLog&) = delete;
    StructuredLog& operator=(const StructuredLog&) = delete;

    /// Queues a line, unless the event has reached its lines per second.
    void event(std::string_view name, LogFields);
    /// Returns true if the lines of this request are to be logged. Depends only on the id, so that all processes log
    /// the request or none does.
    bool isSampled(std::string_view requestId) const;
    std::uint64_t droppedLines() const;
    /// Waits until the buffered lines were written to the file descriptor, at most until the deadline.
    void flush(TimePoint deadline);

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
