#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/RpcError.h"
#include "balsammill/jobs/ShardRecord.h"

#include "balsammill/internal/peer.pb.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Balsammill {

/// Readings of the monotonic and the wall clock at one moment. The wall clock is used only for
/// ShardRecord::historyUnknownUntilMs, which processes on different VMs compare.
struct ClockReadings {
    TimePoint now;
    std::int64_t wallClockMs { 0 };
};

struct RecordMissing { };
struct RecordUnavailable { };
using RecordRead = std::variant<RecordFound, RecordMissing, RecordUnavailable>;

struct RecordWritten {
    std::string tag;
};
struct RecordConflict { };
/// The request was not sent, so nothing was written.
struct RecordNotSent { };
/// No response arrived; the write may have taken effect or may still do so.
struct RecordInDoubt { };
using RecordWrite = std::variant<RecordWritten, RecordConflict, RecordNotSent, RecordInDoubt>;

struct SendPeer {
    ProcessId to;
    balsammill::internal::PeerMessage message;
};
/// Starts the tasks of the job. Issued at most once for each job record.
struct StartJob {
    JobKey key;
    std::shared_ptr<const balsammill::v1::SubmitRequest> submission;
};
/// Cancels those tasks of a started job that have not started. The outcome of the job is still reported afterwards.
struct CancelJob {
    JobKey key;
};
using JobAnswer = std::variant<balsammill::v1::JobResult, RpcErrorDetails>;
struct AnswerWaiters {
    std::vector<RequestId> waiters;
    JobAnswer answer;
};
/// Redirects the request to the primary of the shard, which is another process.
struct RedirectWaiter {
    RequestId waiter;
    ProcessId primary;
};
/// Reads the shard record from the table; the result is passed to JobLedger::recordRead().
struct ReadRecord {
    ShardIndex shard;
};
/// Writes the shard record conditionally; the result is passed to JobLedger::recordWritten(). Without an expected tag,
/// the write succeeds only if the key does not exist.
struct WriteRecord {
    ShardIndex shard;
    ShardRecord record;
    std::optional<std::string> expectedTag;
};

using JobAction = std::variant<SendPeer, StartJob, CancelJob, AnswerWaiters, RedirectWaiter, ReadRecord, WriteRecord>;
using JobActions = std::vector<JobAction>;

} // namespace Balsammill
