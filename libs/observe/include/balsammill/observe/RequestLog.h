#pragma once

#include "balsammill/base/Units.h"

#include <string>
#include <string_view>
#include <vector>

namespace Balsammill {

/// Selects the structured log lines of one request and of the events around it.
struct RequestLogOptions {
    /// Request id.
    std::string subject;
    /// Lines without a request id, such as those about a change of a shard's owner, are included from this long before
    /// the first line of the request until this long after its last line.
    Duration context { std::chrono::seconds(2) };
};

/// Collects the log lines of one request from several processes, sorted by time: the lines with its id, and the lines
/// without a request id near them, which are about processes, shards, upstreams, peers, the store and the
/// configuration. Lines without a valid time are skipped. Empty if no line has the id.
std::vector<std::string> collectRequestLog(const std::vector<std::string>& lines, const RequestLogOptions&);

/// Returns the value of a key in a structured log line; empty if the line does not contain the key.
std::string logValue(std::string_view line, std::string_view key);

} // namespace Balsammill
