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

QuotaShares sharesAt(const std::string& self, std::map<ClientAccountName, std::uint32_t> quotas = {})
{
    return QuotaShares({ .self = VmName(self), .quotas = std::move(quotas) });
}

/// Slots that a client account holds at an entry process when the scheduler there divides its slots by these weights
/// among the client accounts that have demand.
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

/// Slots that a client account holds over all entry processes when each of them computes its weights from all reports.
double slotsHeldOverAll(const std::map<std::string, Demands>& entries,
    const std::map<ClientAccountName, std::uint32_t>& quotas, const std::string& clientAccount)
{
    double held = 0;
    for (const auto& [self, demands] : entries) {
        auto shares = sharesAt(self, quotas);
        for (const auto& [entry, reported] : entries)
            shares.report(reportOf(entry, reported), at(0s));
        held += slotsHeld(shares.weights(at(100ms)), demands, clientAccount);
    }
    return held;
}

} // namespace

// Guards against a client account that gets more than its quota because its work arrives at more entry processes.
TEST_CASE("Client accounts hold their quota over all entry processes together")
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
        // Of 300 slots client account a's quota is 100, which the least part of client account b at its entry process
        // reduces.
        CHECK(slotsHeldOverAll(entries, quotas, "a") >= 90);
        CHECK(slotsHeldOverAll(entries, quotas, "a") <= 100);
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
        // Client account c wants less than its quota; the other 270 slots are divided by one to three.
        CHECK(slotsHeldOverAll(entries, quotas, "a") == doctest::Approx(67.5).epsilon(0.05));
        CHECK(slotsHeldOverAll(entries, quotas, "b") == doctest::Approx(202.5).epsilon(0.05));
        CHECK(slotsHeldOverAll(entries, quotas, "c") >= 28);
    }
}

// Guards against slots that stay idle for a client account without demand, and against a loan that outlasts the next
// reports.
TEST_CASE("An unused share is lent at once and returned with the next reports")
{
    auto shares = sharesAt("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 1 } });
    const auto heldByB = [&](TimePoint now, const Demands& own) { return slotsHeld(shares.weights(now), own, "b"); };
    shares.report(reportOf("e1", { { "b", 1000 } }), at(0s));
    shares.report(reportOf("e2", { { "b", 1000 } }), at(0s));
    CHECK(heldByB(at(0s), { { "b", 1000 } }) == doctest::Approx(100));
    // Client account a's first tasks find the weight of its quota, before any report tells of them.
    CHECK(heldByB(at(50ms), { { "a", 1000 }, { "b", 1000 } }) == doctest::Approx(67).epsilon(0.01));
    shares.report(reportOf("e1", { { "a", 1000 }, { "b", 1000 } }), at(200ms));
    shares.report(reportOf("e2", { { "b", 1000 } }), at(200ms));
    // Client account b holds its half at the other entry process, so this one serves client account a.
    CHECK(heldByB(at(200ms), { { "a", 1000 }, { "b", 1000 } }) <= 10);
}

// Guards against a cut-off process that goes on borrowing on the strength of old reports.
TEST_CASE("An entry process without fresh reports keeps to its own part")
{
    auto shares = sharesAt("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 3 } });
    const Demands own { { "a", 1000 }, { "b", 1000 } };
    shares.report(reportOf("e1", own), at(0s));
    shares.report(reportOf("e2", { { "b", 1000 } }), at(0s));
    const auto heldByA = [&](TimePoint now) { return slotsHeld(shares.weights(now), own, "a"); };
    CHECK(heldByA(at(900ms)) > 40);
    CHECK(heldByA(at(1100ms)) == doctest::Approx(25).epsilon(0.01));
    shares.report(reportOf("e2", { { "b", 1000 } }), at(1200ms));
    CHECK(heldByA(at(1200ms)) > 40);
    shares.forget(VmName("e2"));
    CHECK(heldByA(at(1200ms)) == doctest::Approx(25).epsilon(0.01));
}

// Guards against weights that make no sense to a scheduler when nothing is known yet.
TEST_CASE("Without reports every client account has the weight of its quota")
{
    const auto weights
        = sharesAt("e1", { { ClientAccountName("a"), 1 }, { ClientAccountName("b"), 3 } }).weights(at(0s));
    CHECK(weights.at(ClientAccountName("a")) == 2500);
    CHECK(weights.at(ClientAccountName("b")) == 7500);
}
