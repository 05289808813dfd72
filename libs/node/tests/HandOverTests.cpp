#include "ownership/HandOver.h"

#include "balsammill/internal/shard.pb.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace Balsammill;
using std::chrono::milliseconds;

namespace {

HandOver encodeAndDecode(const HandOver& sent, TimePoint sentAt, TimePoint receivedAt)
{
    balsammill::internal::HandOverShard message;
    encodeHandOver(sent, sentAt, message);
    return decodeHandOver(message, receivedAt);
}

} // namespace

// Guards against a successor that starts tasks again while unreported runs of an owner before its predecessor may still
// be active. This happens if the remaining wait is not transferred with the shard.
TEST_CASE("A shard's handover carries the remaining wait for unreported runs")
{
    const auto sentAt = monotonicNow();
    const auto receivedAt = sentAt + milliseconds(5000);
    const HandOver open { .shard = Shards::ShardName("valencia/0"),
        .epoch = Epoch(3),
        .unreportedRunsExpireAt = sentAt + milliseconds(700) };
    CHECK_EQ((encodeAndDecode(open, sentAt, receivedAt).unreportedRunsExpireAt - receivedAt).count(),
        Duration(milliseconds(700)).count());
    const HandOver over {
        .shard = Shards::ShardName("valencia/0"), .epoch = Epoch(3), .unreportedRunsExpireAt = sentAt - milliseconds(10)
    };
    CHECK_EQ((encodeAndDecode(over, sentAt, receivedAt).unreportedRunsExpireAt - receivedAt).count(), 0);
}

// Guards against a handover that exceeds the output limit of a connection, which would close it. The counts are ten
// times those of a shard at the load that the operators expect: jobs that clients wait for, with the longest payload,
// and stored jobs of 120 tasks that have started.
TEST_CASE("The handover of a shard at ten times the expected load fits into a message")
{
    constexpr std::size_t maxOutputBytes = 8ULL * 1024 * 1024;
    constexpr int openJobs = 400;
    constexpr int storedJobs = 4'000;
    constexpr std::uint32_t tasks = 120;
    HandOver content { .shard = Shards::ShardName("valencia/0"), .epoch = Epoch(3) };
    const auto now = monotonicNow();
    for (int i = 0; i < openJobs + storedJobs; ++i) {
        HandOver::Job each;
        const JobId id { "5c0e7a21d94b" + std::to_string(1'000 + i) };
        each.job.key = { .job = id };
        each.job.progress
            = { .steps = { std::vector<Shards::TaskProgress>(tasks) }, .highestRun = Shards::RunNumber(9) };
        each.job.submittedAt = now;
        if (i < openJobs) {
            auto spec = std::make_shared<Shards::JobSpec>();
            spec->id = id;
            spec->payload = std::string(4'000, 'x');
            spec->steps.resize(1);
            spec->steps[0].count = tasks;
            each.job.spec = spec;
        }
        // Two tasks of each job have failed, and eight run.
        for (std::uint32_t k = 0; k < 10; ++k) {
            if (k < 2)
                each.job.progress.steps[0][k] = { .failures = 2, .countedRun = Shards::RunNumber(7) };
            else
                each.job.expected.push_back({ .index = k,
                    .run = Shards::RunNumber(9),
                    .upstream = Shards::UpstreamId("upstream-" + std::to_string(k)),
                    .startSentAt = now });
        }
        content.jobs.push_back(std::move(each));
    }
    balsammill::internal::HandOverShard message;
    encodeHandOver(content, now, message);
    CHECK_LT(message.ByteSizeLong(), maxOutputBytes);
}
