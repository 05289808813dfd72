#include "balsammill/base/Verdict.h"

namespace Balsammill {

std::string_view nameOf(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return "not-run";
    case Verdict::MayHaveRun:
        return "may-have-run";
    case Verdict::Ran:
        return "ran";
    }
    return "may-have-run";
}

std::optional<Verdict> parseVerdict(std::string_view text)
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
        if (nameOf(verdict) == text)
            return verdict;
    }
    return std::nullopt;
}

} // namespace Balsammill
