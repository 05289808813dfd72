#pragma once

#include "balsammill/base/Verdict.h"

#include <optional>
#include <string>
#include <string_view>

namespace Balsammill::Detail {

struct AnswerHead {
    int status { 200 };
    std::string_view contentType;
    std::size_t bodyBytes { 0 };
    std::optional<Verdict> verdict {};
    bool close { false };
};

/// Status line and header of an answer.
std::string formatAnswerHead(const AnswerHead&);

} // namespace Balsammill::Detail
