#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace Balsammill {

/// One key and value of a log line.
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

/// Writes events as logfmt lines ("time=... vm=... event=... key=value ...") to a file descriptor. Lines go through a
/// bounded buffer to a thread of their own, so that a reader that stops never blocks the caller; what does not fit is
/// dropped and counted in a line of its own.
class StructuredLog {
public:
    struct Options {
        std::string vm;
        int fileDescriptor { 1 };
        /// Lines a second for each event name; more are left out and counted.
        std::uint32_t linesPerSecond { 100 };
        /// Of how many requests one has its lines written; failures are always written.
        std::uint32_t sampleOneIn { 16 };
        std::size_t bufferBytes { 256 * 1024 };
    };

    explicit StructuredLog(const Options&);
    ~StructuredLog();
    StructuredLog(const StructuredLog&) = delete;
    StructuredLog& operator=(const StructuredLog&) = delete;

    /// Writes a line, within the event's budget.
    void event(std::string_view name, LogFields);
    /// Decides by the request's id, so that a request has all its lines in every process or none.
    bool samples(std::string_view requestId) const;
    std::uint64_t droppedLines() const;
    /// Waits until what was written so far has left the process, at most until the deadline.
    void flush(TimePoint deadline);

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
