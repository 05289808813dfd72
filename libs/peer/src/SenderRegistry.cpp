#include "SenderRegistry.h"

namespace Balsammill::Detail {

Freshness SenderRegistry::accept(const ProcessId& sender, std::uint64_t sequence)
{
    std::lock_guard lock(mutex_);
    auto& entry = senders_[sender.vm];
    if (sender.incarnation < entry.incarnation)
        return Freshness::OldIncarnation;
    if (sender.incarnation > entry.incarnation)
        entry = { sender.incarnation, {} };
    return entry.window.accept(sequence) ? Freshness::Fresh : Freshness::Replayed;
}

} // namespace Balsammill::Detail
