#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/policy/ClientAccountDemand.h"

#include <map>
#include <vector>

namespace Balsammill {

/// What one entry process tells the others in its heartbeats.
struct DemandReport {
    VmName entry;
    std::uint32_t totalSlots { 0 };
    std::vector<ClientAccountDemand> clientAccounts;
};

struct QuotaSharesOptions {
    VmName self;
    /// Weights of the client accounts; a client account that is not listed has weight 1.
    std::map<ClientAccountName, std::uint32_t> quotas {};
    /// Five heartbeats. A report that is older is ignored on both sides: its sender and this process then both keep to
    /// their own part.
    Duration staleAfter { std::chrono::seconds(1) };
};

/// Divides the slots of all entry processes between the client accounts, so that a client account holds its quota over
/// all of them together. Every process computes its own weights from the same reports. Not thread-safe; holds no clock.
class QuotaShares {
public:
    explicit QuotaShares(QuotaSharesOptions);

    void setQuotas(std::map<ClientAccountName, std::uint32_t>);
    /// Takes the report of this or of another entry process; it replaces the previous one.
    void report(DemandReport, TimePoint now);
    void forget(const VmName& entry);

    /// Weights for the scheduler of this process, proportional to the slots that each client account should hold here.
    /// A client account without demand keeps the weight of its quota, so that its first tasks are served at once.
    std::map<ClientAccountName, std::uint32_t> weights(TimePoint now) const;

private:
    struct Received {
        DemandReport report;
        TimePoint at;
    };

    std::vector<const DemandReport*> freshReports(TimePoint now) const;
    std::uint32_t quotaOf(const ClientAccountName&) const;

    QuotaSharesOptions options_;
    std::map<VmName, Received> reports_;
};

} // namespace Balsammill
