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

/// Highest incarnation and replay window of each sender. Thread-safe.
///
/// Only authentic messages reach it, so its size is bounded by the number of VMs of the deployment since the start
/// (about 600 B each).
class SenderRegistry {
public:
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
