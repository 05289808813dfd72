#include "balsammill/shards/CompletedOccurrences.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

using namespace Balsammill::Shards;

// Guards against a completed occurrence that is forgotten or one that is skipped.
TEST_CASE("Completed occurrences are the same after any order of insertion and after encoding")
{
    std::mt19937 random(55);
    for (int round = 0; round < 300; ++round) {
        CAPTURE(round);
        const auto occurrences = 1 + random() % 200;
        CompletedOccurrences completed;
        std::set<std::uint32_t> expected;
        for (unsigned i = 0; i < random() % 400; ++i) {
            const auto occurrence = static_cast<std::uint32_t>(random() % occurrences);
            CHECK_EQ(completed.insert(occurrence), expected.insert(occurrence).second);
        }
        CHECK_EQ(completed.count(), expected.size());
        CHECK((completed.toVector() == std::vector<std::uint32_t>(expected.begin(), expected.end())));
        for (std::uint32_t each = 0; each < occurrences + 20; ++each)
            CHECK_EQ(completed.contains(each), expected.contains(each));
        CHECK_LE(completed.bitmap().size(), (occurrences - completed.allBelow() + 7) / 8);
        CHECK((CompletedOccurrences(completed.allBelow(), completed.bitmap()) == completed));
    }
}
