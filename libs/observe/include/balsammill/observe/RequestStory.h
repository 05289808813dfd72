#pragma once

#include "balsammill/base/Units.h"

#include <string>
#include <string_view>
#include <vector>

namespace Balsammill {

/// What to show of one request out of the structured logs of several processes.
struct StoryOptions {
    /// Id of the request.
    std::string subject;
    /// Lines that belong to no request, such as a change of an owner, are shown from this long before the request's
    /// first line until this long after its last.
    Duration context { std::chrono::seconds(2) };
};

/// Merges the lines that tell the request's story by their time: those with its id, and those about processes, shards,
/// upstreams, peers, the store and the configuration around it. Lines that cannot be read are left out.
std::vector<std::string> requestStory(const std::vector<std::string>& lines, const StoryOptions&);

/// Value of a key in a line of the structured log; empty if the line does not have it.
std::string logValue(std::string_view line, std::string_view key);

} // namespace Balsammill
