#include "ShareMatrix.h"
#include "Simulation.h"
#include "balsammill/policy/QuotaShares.h"

#include <doctest/doctest.h>

#include <numeric>

using namespace Balsammill;
using namespace Balsammill::Testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slotsPerEntry = 100;
using Demands = std::map<std::string, std::uint32_t>;

DemandReport reportOf(const std::string& entry, const Demands& queued)
{
    DemandReport report { .entry = VmName(entry), .totalSlots = slotsPerEntry, .clientAccounts = {} };
    for (const auto& [clientAccount, slots] : queued)
        report.clientAccounts.push_back(
            { .clientAccount = ClientAccountName(clientAccount), .slotsInUse = 0, .queued = slots });
    return report;
}

QuotaShares makeQuotaShares(const std::string& self, std::map<ClientAccountName, std::uint32_t> quotas = {})
{
    return QuotaShares({ .self = VmName(self), .quotas = std::move(quotas) });
}

/// Slots that a client account holds at one entry process whose scheduler divides its slots by these weights among the
/// client accounts with demand.
double slotsHeld(
    const std::map<ClientAccountName, std::uint32_t>& weights, const Demands& demands, const std::string& clientAccount)
{
    std::vector<double> wanted;
    std::vector<double> weightOf;
    std::size_t index = 0;
    for (const auto& [name, slots] : demands) {
        if (name == clientAccount)
            index = wanted.size();
        wanted.push_back(slots);
        weightOf.push_back(weights.at(ClientAccountName(name)));
    }
    return demands.contains(clientAccount) ? Detail::waterFill(slotsPerEntry, wanted, weightOf)[index] : 0;
}

/// Sum of the slots that a client account holds at all entry processes, each of which has the reports of all.
double totalSlotsHeld(const std::map<std::string, Demands>& entries,
    const std::map<ClientAccountName, std::uint32_t>& quotas, const std::string& clientAccount)
{
    double held = 0;
    for (const auto& [self, demands] : entries) {
        auto shares = makeQuotaShares(self, quotas);
        for (const auto& [entry, reported] : entries)
            shares.recordReport(reportOf(entry, reported), at(0s));
        held += slotsHeld(shares.weights(at(100ms)), demands, clientAccount);
    }
    return held;
}

} // namespace

// Guards against a client account that exceeds its quota because its work arrives at more entry processes.
TEST_CASE("A quota applies to the slots of a client account at all entry processes together")
{
    SUBCASE("One client account at one entry process, the other at three")
    {
        const std::map<std::string, Demands> entries {
            { "e1", { { "a", 1000 }, { "b", 1000 } } },
            { "e2", { { "b", 1000 } } },
            { "e3", { { "b", 1000 } } },
        };
        const std::map<ClientAccountName, std::uint32_t> quotas { { ClientAccountName("a"), 1 },
            { ClientAccountName("b"), 2 } };
        // The quota of client account a is 100 of 300 slots. It gets slightly less, because client account b keeps a
        // minimum weight at e1.
        CHECK(totalSlotsHeld(entries, quotas, "a") >= 90);
        CHECK(totalSlotsHeld(entries, quotas, "a") <= 100);
    }
    SUBCASE("Overlapping demand with quotas of one to three")
    {
        const std::map<std::string, Demands> entries {
            { "e1", { { "a", 1000 }, { "b", 200 } } },
            { "e2", { { "a", 1000 }, { "b", 500 }, { "c", 30 } } },
            { "e3", { { "b", 1000 } } },
        };
        const std::map<ClientAccountName, std::uint32_t> quotas { { ClientAccountName("a"), 1 },
            { ClientAccountName("b"), 3 }, { ClientAccountName("c"), 1 } };
        // Client account c demands less than its quota; the other 270 slots are divided one to three.
        CHECK(totalSlotsHeld(entries, quotas, "a") == doctest::Approx(67.5).epsilon(0.05));
        CHECK(totalSlotsHeld(entries, quotas, "b") == doctest::Approx(202.5).epsilon(0.05));
        CHECK(totalSlotsHeld(entries, quotas, "c") >= 28);
    }
}

// Guards against slots kept idle for a client account without demand, and against redistributed slots that are not
// returned after the next reports.
TEST_CASE("Unused quota is redistributed at once and returned with the next reports")
{
    auto shares = makeQuotaShares("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 1 } });
    const auto heldByB = [&](TimePoint now, const Demands& own) { return slotsHeld(shares.weights(now), own, "b"); };
    shares.recordReport(reportOf("e1", { { "b", 1000 } }), at(0s));
    shares.recordReport(reportOf("e2", { { "b", 1000 } }), at(0s));
    CHECK(heldByB(at(0s), { { "b", 1000 } }) == doctest::Approx(100));
    // The first tasks of client account a get the weight of its quota, before any report contains them.
    CHECK(heldByB(at(50ms), { { "a", 1000 }, { "b", 1000 } }) == doctest::Approx(67).epsilon(0.01));
    shares.recordReport(reportOf("e1", { { "a", 1000 }, { "b", 1000 } }), at(200ms));
    shares.recordReport(reportOf("e2", { { "b", 1000 } }), at(200ms));
    // Client account b has its half of all slots at e2, so e1 serves client account a.
    CHECK(heldByB(at(200ms), { { "a", 1000 }, { "b", 1000 } }) <= 10);
}

// Guards against a partitioned entry process that keeps exceeding its quota shares because of stale reports.
TEST_CASE("An entry process without fresh reports divides its own slots by quota")
{
    auto shares = makeQuotaShares("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 3 } });
    const Demands own { { "a", 1000 }, { "b", 1000 } };
    shares.recordReport(reportOf("e1", own), at(0s));
    shares.recordReport(reportOf("e2", { { "b", 1000 } }), at(0s));
    const auto heldByA = [&](TimePoint now) { return slotsHeld(shares.weights(now), own, "a"); };
    CHECK(heldByA(at(900ms)) > 40);
    CHECK(heldByA(at(1100ms)) == doctest::Approx(25).epsilon(0.01));
    shares.recordReport(reportOf("e2", { { "b", 1000 } }), at(1200ms));
    CHECK(heldByA(at(1200ms)) > 40);
    shares.removeEntry(VmName("e2"));
    CHECK(heldByA(at(1200ms)) == doctest::Approx(25).epsilon(0.01));
}

// Guards against unusable weights after a start, before any report has arrived.
TEST_CASE("Without reports every client account has the weight of its quota")
{
    const auto weights
        = makeQuotaShares("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 3 } }).weights(at(0s));
    CHECK(weights.at(ClientAccountName("a")) == 2500);
    CHECK(weights.at(ClientAccountName("b")) == 7500);
}
