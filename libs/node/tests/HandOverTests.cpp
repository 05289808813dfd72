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
