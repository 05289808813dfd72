#include "balsammill/policy/QuotaShares.h"

#include "ShareMatrix.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Balsammill {

namespace {

// Weight that corresponds to all slots of this process; large enough to divide among 100 client accounts.
constexpr double totalWeight = 10'000;
// A client account that uses its whole quota on other processes keeps this fraction of its quota weight here, so that
// its tasks on this process do not starve.
constexpr double minQuotaFraction = 0.1;

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

void QuotaShares::recordReport(DemandReport report, TimePoint now)
{
    const auto entry = report.entry;
    reports_.insert_or_assign(entry, Received { std::move(report), now });
}

void QuotaShares::removeEntry(const VmName& entry) { reports_.erase(entry); }

std::uint32_t QuotaShares::quotaOf(const ClientAccountName& clientAccount) const
{
    const auto found = options_.quotas.find(clientAccount);
    return found == options_.quotas.end() ? 1 : std::max(1U, found->second);
}

std::vector<const DemandReport*> QuotaShares::freshReports(TimePoint now) const
{
    std::vector<const DemandReport*> reports;
    for (const auto& [entry, received] : reports_) {
        // The report of this process comes first and never expires.
        if (entry.value == options_.self.value)
            reports.insert(reports.begin(), &received.report);
        else if (now - received.receivedAt <= options_.staleAfter)
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
    const bool hasOwnReport = reports_.contains(options_.self);
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
        const auto nominalWeight = totalWeight * quota / totalQuota;
        auto weight = nominalWeight;
        if (hasOwnReport && capacities[0] > 0 && totals[row] > 0 && shares.at(row, 0) > 0)
            weight = std::max(minQuotaFraction * nominalWeight, totalWeight * shares.at(row, 0) / capacities[0]);
        weights[clientAccount] = static_cast<std::uint32_t>(std::max(1.0, std::round(weight)));
        ++row;
    }
    return weights;
}

} // namespace Balsammill
