#pragma once

#include "balsammill/base/ProcessId.h"
#include "balsammill/base/RcuCell.h"
#include "balsammill/base/Units.h"
#include "balsammill/entry/PeerSender.h"

#include <functional>
#include <memory>
#include <vector>

namespace balsammill::internal {
class PeerMessage;
}
namespace balsammill::v1 {
class CancelRequest;
class GetRequest;
class JobResult;
class ShardState;
class SubmitRequest;
} // namespace balsammill::v1

namespace Balsammill {

class Dispatcher;
class Metrics;
class PlatformClient;
class Timeline;
struct ActiveConfig;
struct MemberView;

struct JobServiceOptions {
    ProcessId self;
    FailureDomain domain;
    /// If null, the platform's table is treated as unreachable.
    const PlatformClient* platform { nullptr };
    PeerSender send;
    /// May be null.
    Timeline* timeline { nullptr };
    Metrics* metrics { nullptr };
    Duration historyRetention { std::chrono::minutes(15) };
    std::size_t answerBytesLimit { 32U << 20U };
    Duration orphanTimeout { std::chrono::seconds(30) };
    /// How long a request is retried while the ownership of its shard is being transferred.
    Duration retryWindow { std::chrono::seconds(5) };
    /// A request to another entry is sent again if it has not been answered within this time.
    Duration resendInterval { std::chrono::seconds(1) };
    /// Timeout of a job if neither its submission nor the configuration sets one.
    Duration defaultJobTimeout { std::chrono::seconds(30) };
    std::uint32_t maxTasksPerJob { 1000 };
};

/// Serves job calls: connects the job ledger to the dispatcher, the platform's table and the other entries.
/// Thread-safe.
///
/// The ledger is created when the first configuration arrives, because that sets the number of shards. The number must
/// not change during the lifetime of the deployment.
class JobService {
public:
    JobService(JobServiceOptions, Dispatcher&, const RcuCell<ActiveConfig>&, const RcuCell<MemberView>&);
    ~JobService();

    void start();
    /// Requests that are still waiting fail with unavailable.
    void stop();

    /// submit() and cancel() block until the job has ended, get() until its state is known. All throw RpcError.
    balsammill::v1::JobResult submit(const balsammill::v1::SubmitRequest&, TimePoint deadline);
    balsammill::v1::JobResult get(const balsammill::v1::GetRequest&, TimePoint deadline);
    balsammill::v1::JobResult cancel(const balsammill::v1::CancelRequest&, TimePoint deadline);

    /// Handles JobSubmit, JobDone, ReplicateJob, ReplicateAck, ShardSnapshot and ShardHandover; ignores other messages.
    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    /// Must be called after a new member view was stored.
    void membersChanged();
    /// Must be called about every 50 ms; a gap of more than 1 s is treated as a pause of this process.
    void tick(TimePoint now);

    /// Waits until other entries have taken over this process's shards, which they do once the member view marks it as
    /// leaving. Returns false if the deadline passed first. tick() must be called in the meantime.
    bool handOverShards(TimePoint deadline);
    /// Number of jobs started here that have not ended, or whose outcome has not been replicated to another entry yet.
    std::size_t unfinishedJobs() const;
    std::vector<balsammill::v1::ShardState> shardStates() const;

private:
    class Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
