#include "balsammill/peer/ReplayWindow.h"

#include "SenderRegistry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <vector>

using namespace Balsammill;

// Guards against a replayed message that is processed twice, and against dropping messages that arrive out of order.
TEST_CASE("Each sequence number within the window is accepted exactly once, in any order")
{
    ReplayWindow window;
    std::mt19937 random(3);
    std::vector<std::uint64_t> sequences;
    for (std::uint64_t i = 1; i <= 20'000; ++i)
        sequences.push_back(i);
    for (std::size_t i = 0; i + 100 < sequences.size(); i += 100)
        std::shuffle(sequences.begin() + static_cast<std::ptrdiff_t>(i),
            sequences.begin() + static_cast<std::ptrdiff_t>(i + 100), random);
    int accepted = 0;
    int acceptedAgain = 0;
    for (const auto sequence : sequences) {
        accepted += window.accept(sequence) ? 1 : 0;
        acceptedAgain += window.accept(sequence) ? 1 : 0;
    }
    CHECK(accepted == 20'000);
    CHECK(acceptedAgain == 0);
}

// Guards against off-by-one errors at the edges of the window and after a jump of the sequence number.
TEST_CASE("Sequence numbers at the edges of the window are accepted or rejected correctly")
{
    ReplayWindow window;
    CHECK_FALSE(window.accept(0));
    CHECK(window.accept(ReplayWindow::size + 1));
    CHECK_FALSE(window.accept(1));
    CHECK(window.accept(2));
    CHECK_FALSE(window.accept(2));
    CHECK(window.accept(10 * ReplayWindow::size));
    CHECK_FALSE(window.accept(ReplayWindow::size + 1));
    CHECK(window.accept(10 * ReplayWindow::size - 1));
    // A jump by exactly the window size reuses every bit.
    CHECK(window.accept(11 * ReplayWindow::size));
    CHECK(window.accept(10 * ReplayWindow::size + 1));
    CHECK_FALSE(window.accept(10 * ReplayWindow::size));
    CHECK(window.accept(UINT64_MAX));
    CHECK_FALSE(window.accept(UINT64_MAX));
}

// Guards against rejecting a restarted sender, whose sequence numbers start over, and against accepting a late message
// of its previous incarnation.
TEST_CASE("A later incarnation starts with an empty window and an earlier one is rejected")
{
    using Detail::Freshness;
    Detail::SenderRegistry registry;
    const ProcessId first { VmName("a"), Incarnation(10) };
    const ProcessId second { VmName("a"), Incarnation(11) };
    CHECK(registry.accept(first, 9) == Freshness::Fresh);
    CHECK(registry.accept(second, 9) == Freshness::Fresh);
    CHECK(registry.accept(second, 9) == Freshness::Replayed);
    CHECK(registry.accept(first, 10) == Freshness::OldIncarnation);
    CHECK(registry.accept({ VmName("b"), Incarnation(1) }, 9) == Freshness::Fresh);
}
