#include "EntryRegistrar.h"

#include "balsammill/base/Log.h"
#include "balsammill/internal/peer.pb.h"

namespace Balsammill {

namespace {

constexpr auto rowPrefix = "entries/";
// Several renewals fit into EntryRegistry::expiry, so that a row does not expire because a few renewals failed.
constexpr Duration renewInterval = std::chrono::seconds(2);

} // namespace

EntryRegistrar::EntryRegistrar(const PlatformClient& platform, EntryRegistrarOptions options)
    : platform_(platform)
    , options_(std::move(options))
{
}

void EntryRegistrar::renew(TimePoint now)
{
    balsammill::internal::EntryRow row;
    row.set_vm(options_.self.vm.value);
    row.set_incarnation(options_.self.incarnation.value);
    row.set_failure_domain(options_.failureDomain.value);
    row.set_peer_address(options_.peerAddress.value);
    row.set_renewal(++renewal_);
    const auto result
        = platform_.conditionalWrite(rowPrefix + options_.self.vm.value, row.SerializeAsString(), ownTag_);
    if (const auto* written = std::get_if<Written>(&result)) {
        ownTag_ = written->etag;
        renewAt_ = now + renewInterval;
    }
    // After a failed write, the next refresh() reads the row's current tag and retries.
}

bool EntryRegistrar::read()
{
    const auto result = platform_.list(rowPrefix);
    const auto* values = std::get_if<std::vector<TableValue>>(&result);
    if (values == nullptr)
        return false;
    std::vector<EntryRegistration> rows;
    ownTag_.reset();
    for (const auto& value : *values) {
        if (value.key == rowPrefix + options_.self.vm.value)
            ownTag_ = value.etag;
        balsammill::internal::EntryRow row;
        if (!row.ParseFromString(value.value) || row.vm().empty()) {
            logWarning(LogComponent::Platform, "table key " + value.key + " does not contain a valid registration");
            continue;
        }
        rows.push_back({ .entry
            = { VmName(row.vm()), FailureDomain(row.failure_domain()), NetworkAddress(row.peer_address()), false },
            .version = value.etag.value });
    }
    registry_.apply(rows, monotonicNow());
    return true;
}

std::optional<std::vector<ListedEntry>> EntryRegistrar::refresh()
{
    if (!read())
        return std::nullopt;
    const auto now = monotonicNow();
    if (now >= renewAt_) {
        renew(now);
        read();
    }
    return registry_.listed(monotonicNow());
}

} // namespace Balsammill
