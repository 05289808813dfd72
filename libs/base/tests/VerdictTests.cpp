#include "balsammill/base/ErrorCode.h"
#include "balsammill/base/Verdict.h"

#include <doctest/doctest.h>

using namespace Balsammill;

// Guards against a verdict that is parsed as a different one than was written to the header.
TEST_CASE("Parsing the header value of a verdict returns the same verdict")
{
    for (auto verdict : { Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran }) {
        auto parsed = parseVerdict(nameOf(verdict));
        REQUIRE(parsed.has_value());
        CHECK(*parsed == verdict);
    }
    CHECK_FALSE(parseVerdict("NOT-RUN").has_value());
    CHECK_FALSE(parseVerdict("").has_value());
}

// Guards against a code table whose rows are not in the order of the enumerators; lookups index it by enumerator value.
TEST_CASE("Every error code has its own name and HTTP status")
{
    CHECK(nameOf(ErrorCode::Canceled) == "canceled");
    CHECK(nameOf(ErrorCode::Unauthenticated) == "unauthenticated");
    CHECK(httpStatus(ErrorCode::ResourceExhausted) == 429);
    CHECK(httpStatus(ErrorCode::Unavailable) == 503);
    for (int i = 0; i <= static_cast<int>(ErrorCode::Unauthenticated); ++i) {
        auto code = static_cast<ErrorCode>(i);
        auto parsed = parseErrorCode(nameOf(code));
        REQUIRE(parsed.has_value());
        CHECK(*parsed == code);
    }
}
