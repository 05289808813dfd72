#include "balsammill/policy/QuotaShares.h"

#include "ShareMatrix.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Balsammill {

namespace {

// Weight of all slots of this process; fine enough for 100 client accounts.
constexpr double fullWeight = 10'000;
// A client account whose slots are all taken in other processes keeps this part of its quota here, so that its tasks
// here do not starve.
constexpr double leastPartOfQuota = 0.1;

double demandOf(const DemandReport& report, const ClientAccountName& clientAccount)
{
    double demand = 0;
    for (const auto& entry : report.clientAccounts) {
        if (entry.clientAccount.value == clientAccount.value)
            demand += static_cast<double>(entry.slotsInUse) + entry.queued;
    }
    return demand;
}

std::vector<double> capacitiesOf(const std::vector<const DemandReport*>& reports)
{
    std::vector<double> capacities;
    for (const auto* report : reports)
        capacities.push_back(report->totalSlots);
    return capacities;
}

} // namespace

QuotaShares::QuotaShares(QuotaSharesOptions options)
    : options_(std::move(options))
{
}

void QuotaShares::setQuotas(std::map<ClientAccountName, std::uint32_t> quotas) { options_.quotas = std::move(quotas); }

void QuotaShares::report(DemandReport report, TimePoint now)
{
    const auto entry = report.entry;
    reports_.insert_or_assign(entry, Received { std::move(report), now });
}

void QuotaShares::forget(const VmName& entry) { reports_.erase(entry); }

std::uint32_t QuotaShares::quotaOf(const ClientAccountName& clientAccount) const
{
    const auto found = options_.quotas.find(clientAccount);
    return found == options_.quotas.end() ? 1 : std::max(1U, found->second);
}

std::vector<const DemandReport*> QuotaShares::freshReports(TimePoint now) const
{
    std::vector<const DemandReport*> reports;
    for (const auto& [entry, received] : reports_) {
        // The own report comes first, and is as fresh as its last update whatever its age.
        if (entry.value == options_.self.value)
            reports.insert(reports.begin(), &received.report);
        else if (now - received.at <= options_.staleAfter)
            reports.push_back(&received.report);
    }
    return reports;
}

std::map<ClientAccountName, std::uint32_t> QuotaShares::weights(TimePoint now) const
{
    const auto reports = freshReports(now);
    std::map<ClientAccountName, double> quotas;
    for (const auto& [clientAccount, quota] : options_.quotas)
        quotas[clientAccount] = quotaOf(clientAccount);
    for (const auto* report : reports) {
        for (const auto& demand : report->clientAccounts)
            quotas[demand.clientAccount] = quotaOf(demand.clientAccount);
    }
    const auto capacities = capacitiesOf(reports);
    const bool ownPresent = reports_.contains(options_.self);
    const auto totalQuota = std::accumulate(
        quotas.begin(), quotas.end(), 0.0, [](double sum, const auto& entry) { return sum + entry.second; });

    Detail::ShareMatrix demands { quotas.size(), reports.size(), {} };
    std::vector<double> totals;
    std::vector<double> rowWeights;
    for (const auto& [clientAccount, quota] : quotas) {
        for (const auto* report : reports)
            demands.values.push_back(demandOf(*report, clientAccount));
        totals.push_back(std::accumulate(
            demands.values.end() - static_cast<std::ptrdiff_t>(reports.size()), demands.values.end(), 0.0));
        rowWeights.push_back(quota);
    }
    const auto capacity = std::accumulate(capacities.begin(), capacities.end(), 0.0);
    const auto targets = Detail::waterFill(capacity, totals, rowWeights);
    const auto shares = Detail::fitShares(std::move(demands), targets, capacities);

    std::map<ClientAccountName, std::uint32_t> weights;
    std::size_t row = 0;
    for (const auto& [clientAccount, quota] : quotas) {
        const auto ownPart = fullWeight * quota / totalQuota;
        auto weight = ownPart;
        if (ownPresent && capacities[0] > 0 && totals[row] > 0 && shares.at(row, 0) > 0)
            weight = std::max(leastPartOfQuota * ownPart, fullWeight * shares.at(row, 0) / capacities[0]);
        weights[clientAccount] = static_cast<std::uint32_t>(std::max(1.0, std::round(weight)));
        ++row;
    }
    return weights;
}

} // namespace Balsammill
