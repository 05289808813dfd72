#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/policy/ClientAccountDemand.h"

#include <map>
#include <vector>

namespace Balsammill {

/// Capacity and demand of one entry process, as sent in its heartbeats.
struct DemandReport {
    VmName entry;
    std::uint32_t totalSlots { 0 };
    std::vector<ClientAccountDemand> clientAccounts;
};

struct QuotaSharesOptions {
    VmName self;
    /// Weights of the client accounts; a client account that is not listed has weight 1.
    std::map<ClientAccountName, std::uint32_t> quotas {};
    /// Reports older than this are ignored; five heartbeat intervals. When two entry processes cannot reach each other,
    /// each of them divides the slots without those of the other.
    Duration staleAfter { std::chrono::seconds(1) };
};

/// Divides the slots of all entry processes between the client accounts, so that the quota of a client account applies
/// to the sum of its slots over all processes. Each process computes its own weights from the reports of all. Not
/// thread-safe; callers pass the current time.
class QuotaShares {
public:
    explicit QuotaShares(QuotaSharesOptions);

    void setQuotas(std::map<ClientAccountName, std::uint32_t>);
    /// Stores a report of this or another entry process, replacing the previous report of that process.
    void recordReport(DemandReport, TimePoint now);
    void removeEntry(const VmName& entry);

    /// Weights for the scheduler of this process, proportional to the slots that each client account should hold here.
    /// A client account without demand gets the weight of its quota, so that its first tasks do not wait for a new
    /// report.
    std::map<ClientAccountName, std::uint32_t> weights(TimePoint now) const;

private:
    struct Received {
        DemandReport report;
        TimePoint receivedAt;
    };

    std::vector<const DemandReport*> freshReports(TimePoint now) const;
    std::uint32_t quotaOf(const ClientAccountName&) const;

    QuotaSharesOptions options_;
    std::map<VmName, Received> reports_;
};

} // namespace Balsammill
