#include "balsammill/observe/RequestLog.h"
#include "balsammill/observe/StructuredLog.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

using namespace Balsammill;

// Guards against lines of other requests in the result, missing lines without a request id, and lines in input order.
TEST_CASE("The log of a request contains its lines and nearby lines without a request id, sorted by time")
{
    const std::vector<std::string> lines {
        "time=2000 vm=b event=job.accepted id=7 shard=v/0",
        "time=1000 vm=a event=job.received id=7",
        "time=1500 vm=c event=job.received id=8",
        "time=2500 vm=c event=shard.gained shard=v/0 epoch=2",
        "time=90000 vm=c event=store.lost reason=timeout",
        "not a line of the log",
        "time=3000 vm=a event=job.answered id=7 outcome=in_doubt",
    };
    const auto selected = collectRequestLog(lines, { .subject = "7" });
    REQUIRE_EQ(selected.size(), 4);
    CHECK_EQ(selected[0], lines[1]);
    CHECK_EQ(selected[1], lines[0]);
    CHECK_EQ(selected[2], lines[3]);
    CHECK_EQ(selected[3], lines[6]);
    CHECK(collectRequestLog(lines, { .subject = "9" }).empty());
}

// Guards against a parser that ends quoted values at a space, an escaped quote or an equals sign.
TEST_CASE("Quoted values with spaces, quotes and equals signs are parsed")
{
    CHECK_EQ(logValue(R"(time=1 reason="a \"b\" = c" id=7)", "reason"), "a \"b\" = c");
    CHECK_EQ(logValue(R"(time=1 reason="a \"b\" = c" id=7)", "id"), "7");
    CHECK_EQ(logValue("time=1", "id"), "");
}

// Guards against a process that blocks because its standard output is not read and the pipe is full.
TEST_CASE("A stalled reader does not block logging, and dropped lines are counted")
{
    std::array<int, 2> pipe {};
    REQUIRE_EQ(::pipe2(pipe.data(), O_CLOEXEC | O_NONBLOCK), 0);
    {
        StructuredLog log(
            { .vm = "e1", .fileDescriptor = pipe[1], .linesPerSecond = 1'000'000, .bufferBytes = 16 * 1024 });
        for (int i = 0; i < 50'000; ++i)
            log.event("job.refused", { { "id", std::int64_t { i } }, { "reason", "no room" } });
        CHECK_GT(log.droppedLines(), 0);
    }
    ::close(pipe[0]);
    ::close(pipe[1]);
}

// Guards against a log volume that grows with the load. Lines beyond the limit are counted in a separate line.
TEST_CASE("Lines of one event are limited to its lines per second")
{
    std::array<int, 2> pipe {};
    REQUIRE_EQ(::pipe2(pipe.data(), O_CLOEXEC), 0);
    {
        StructuredLog log({ .vm = "e1", .fileDescriptor = pipe[1], .linesPerSecond = 20 });
        for (int i = 0; i < 10'000; ++i)
            log.event("job.refused", { { "id", std::int64_t { i } } });
        log.flush(monotonicNow() + std::chrono::seconds(5));
    }
    ::close(pipe[1]);
    std::string text(1 << 16, '\0');
    const auto count = ::read(pipe[0], text.data(), text.size());
    ::close(pipe[0]);
    REQUIRE_GT(count, 0);
    const auto lines = std::count(text.begin(), text.begin() + count, '\n');
    // The loop may take several seconds; each second allows its own lines and one line with the suppressed count.
    CHECK_LE(lines, 20 * 5);
}

// Guards against a request whose lines are logged by only some of the processes that handle it.
TEST_CASE("All processes make the same sampling decision for a request")
{
    StructuredLog one({ .vm = "e1", .fileDescriptor = 1, .sampleOneIn = 4 });
    StructuredLog two({ .vm = "e2", .fileDescriptor = 1, .sampleOneIn = 4 });
    int sampled = 0;
    for (int i = 0; i < 400; ++i) {
        const auto id = std::to_string(i);
        CHECK_EQ(one.isSampled(id), two.isSampled(id));
        sampled += one.isSampled(id) ? 1 : 0;
    }
    CHECK_GT(sampled, 40);
    CHECK_LT(sampled, 200);
}
