#pragma once

#include <optional>
#include <string_view>

namespace Balsammill {

/// Says whether a request may have been run by an upstream.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Header value: "not-run", "may-have-run" or "ran".
std::string_view nameOf(Verdict);

/// Parses a header value; empty for anything else.
std::optional<Verdict> parseVerdict(std::string_view);

} // namespace Balsammill
