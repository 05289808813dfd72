#include "balsammill/shards/FencingToken.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Shards;

// Guards against an owner that is refused by an upstream because its predecessor raised its token often.
TEST_CASE("The tokens of an owner are higher than all tokens of earlier owners, however often those were raised")
{
    FencingTokens earlier(Epoch(7));
    for (int i = 0; i < 2'000'000; ++i)
        earlier.raise();
    CHECK_LT(earlier.current(), FencingTokens(Epoch(8)).current());
    CHECK_EQ(earlier.epoch(), Epoch(7));
}

TEST_CASE("A raised token is higher than the one before")
{
    FencingTokens tokens(Epoch(1));
    const auto before = tokens.current();
    CHECK_GT(tokens.raise(), before);
    CHECK_GT(tokens.current(), before);
    CHECK_EQ(tokens.epoch(), Epoch(1));
}
