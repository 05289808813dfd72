#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/peer/ReplayWindow.h"

#include <map>
#include <mutex>

namespace Balsammill::Detail {

enum class Freshness {
    Fresh,
    Replayed,
    OldIncarnation,
};

/// Tracks the highest incarnation and the replay window of each sender. Thread-safe.
///
/// Only authenticated messages reach the registry, so it holds at most one entry (about 600 B) for each VM that the
/// deployment has had since this process started.
class SenderRegistry {
public:
    /// Records the message if it is fresh. A higher incarnation starts with an empty window.
    Freshness accept(const ProcessId& sender, std::uint64_t sequence);

private:
    struct Sender {
        Incarnation incarnation;
        ReplayWindow window;
    };

    std::mutex mutex_;
    std::map<VmName, Sender> senders_;
};

} // namespace Balsammill::Detail
