#pragma once

#include <optional>
#include <string_view>

namespace Balsammill {

/// States whether an upstream ran a request, so that a client knows whether a retry could run it twice.
enum class Verdict {
    NotRun,
    MayHaveRun,
    Ran,
};

/// Returns the header value: "not-run", "may-have-run" or "ran".
std::string_view nameOf(Verdict);

/// Parses a header value. Returns an empty optional for any other text.
std::optional<Verdict> parseVerdict(std::string_view);

} // namespace Balsammill
