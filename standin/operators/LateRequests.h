#pragma once

#include <chrono>
#include <limits>
#include <optional>

namespace Standin {

/// Which of the next requests of one kind an upstream carries out late, or never. It answers none of these.
struct LateRequests {
    static constexpr int all = std::numeric_limits<int>::max();

    int count { 0 };
    /// Unset if the requests are never carried out.
    std::optional<std::chrono::milliseconds> delay {};

    /// Counts one request. Returns false if it is carried out at once.
    bool take()
    {
        if (count == 0)
            return false;
        if (count != all)
            --count;
        return true;
    }
};

} // namespace Standin
