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
    /// Null: the table counts as unreachable.
    const PlatformClient* platform { nullptr };
    PeerSender send;
    /// May be null.
    Timeline* timeline { nullptr };
    Metrics* metrics { nullptr };
    Duration historyRetention { std::chrono::minutes(15) };
    std::size_t answerBytesLimit { 32U << 20U };
    Duration orphanTimeout { std::chrono::seconds(30) };
    /// How long a request waits for a shard that is changing hands.
    Duration retryWindow { std::chrono::seconds(5) };
    /// A request to another entry is repeated after this time without an answer.
    Duration resendInterval { std::chrono::seconds(1) };
    /// Time until a job fails if neither its submission nor the configuration names one.
    Duration defaultJobTimeout { std::chrono::seconds(30) };
    std::uint32_t maxTasksPerJob { 1000 };
};

/// Jobs of callers: connects the job ledger to the dispatcher, the platform's table and the other entries. Thread-safe.
///
/// The ledger comes into being with the first configuration, which names the number of shards. That number must not
/// change while the deployment lives.
class JobService {
public:
    JobService(JobServiceOptions, Dispatcher&, const RcuCell<ActiveConfig>&, const RcuCell<MemberView>&);
    ~JobService();

    void start();
    /// Requests that still wait fail with unavailable.
    void stop();

    /// These block until the job has ended (submit, cancel) or its state is known (get), and throw RpcError.
    balsammill::v1::JobResult submit(const balsammill::v1::SubmitRequest&, TimePoint deadline);
    balsammill::v1::JobResult get(const balsammill::v1::GetRequest&, TimePoint deadline);
    balsammill::v1::JobResult cancel(const balsammill::v1::CancelRequest&, TimePoint deadline);

    /// Handles JobSubmit, JobDone, ReplicateJob, ReplicateAck, ShardSnapshot and ShardHandover; ignores the others.
    void handlePeerMessage(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    /// Call after a new member view was stored.
    void membersChanged();
    /// Call about every 50 ms; a gap of over 1 s counts as a pause of this process.
    void tick(TimePoint now);

    /// Once the member view says that this process is leaving: waits until other entries hold its shards. False if the
    /// deadline passed first. tick() has to be called meanwhile.
    bool handOverShards(TimePoint deadline);
    /// Jobs started here that have not ended or whose outcome no other entry holds yet.
    std::size_t unfinishedJobs() const;
    std::vector<balsammill::v1::ShardState> shardStates() const;

private:
    class Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
