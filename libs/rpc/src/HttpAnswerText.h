#pragma once

#include "balsammill/base/Verdict.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

struct ResponseHead {
    int status { 200 };
    std::string_view contentType;
    std::size_t bodyBytes { 0 };
    std::optional<Verdict> verdict {};
    bool close { false };
};

/// Formats the status line and header of a response.
std::string formatResponseHead(const ResponseHead&);

} // namespace Balsammill::Detail
