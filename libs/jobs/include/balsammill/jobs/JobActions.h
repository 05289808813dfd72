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

/// Both clocks at one moment; the wall clock only serves the end of unknown histories in the table.
struct LedgerTime {
    TimePoint now;
    std::int64_t wallClockMs { 0 };
};

struct RecordMissing { };
struct RecordUnreadable { };
using RecordRead = std::variant<RecordFound, RecordMissing, RecordUnreadable>;

struct RecordWritten {
    std::string tag;
};
struct RecordConflict { };
/// Nothing was written.
struct RecordNotSent { };
/// The answer was lost; the write may have taken effect or may still do so.
struct RecordInDoubt { };
using RecordWrite = std::variant<RecordWritten, RecordConflict, RecordNotSent, RecordInDoubt>;

struct SendPeer {
    ProcessId to;
    balsammill::internal::PeerMessage message;
};
/// Start the job's tasks; issued at most once for each record.
struct StartJob {
    JobKey key;
    std::shared_ptr<const balsammill::v1::SubmitRequest> submission;
};
/// Cancel the tasks of a started job that have not started; its outcome still follows.
struct CancelJob {
    JobKey key;
};
using JobAnswer = std::variant<balsammill::v1::JobResult, RpcErrorDetails>;
struct AnswerWaiters {
    std::vector<RequestId> waiters;
    JobAnswer answer;
};
/// The request belongs to the shard's primary, which is another process.
struct RedirectWaiter {
    RequestId waiter;
    ProcessId primary;
};
/// Report the result by recordRead().
struct ReadRecord {
    ShardIndex shard;
};
/// Report the result by recordWritten(). No expected tag means that the key must not exist.
struct WriteRecord {
    ShardIndex shard;
    ShardRecord record;
    std::optional<std::string> expectedTag;
};

using JobAction = std::variant<SendPeer, StartJob, CancelJob, AnswerWaiters, RedirectWaiter, ReadRecord, WriteRecord>;
using JobActions = std::vector<JobAction>;

} // namespace Balsammill
