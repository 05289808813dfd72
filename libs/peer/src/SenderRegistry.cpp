#include "SenderRegistry.h"

namespace Balsammill::Detail {

Freshness SenderRegistry::accept(const ProcessId& sender, std::uint64_t sequence)
{
    std::lock_guard lock(mutex_);
    auto& known = senders_[sender.vm];
    if (sender.incarnation < known.incarnation)
        return Freshness::OldIncarnation;
    if (sender.incarnation > known.incarnation)
        known = { sender.incarnation, {} };
    return known.window.accept(sequence) ? Freshness::Fresh : Freshness::Replayed;
}

} // namespace Balsammill::Detail
