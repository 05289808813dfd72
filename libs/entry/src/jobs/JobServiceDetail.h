#pragma once

#include "balsammill/entry/JobService.h"

#include "JobRequest.h"
#include "JobRunner.h"
#include "JobWaiters.h"
#include "ShardTableWorker.h"

#include "balsammill/base/Log.h"
#include "balsammill/jobs/JobLedger.h"
#include "balsammill/membership/MemberView.h"
#include "balsammill/observe/Timeline.h"

#include <atomic>
#include <map>
#include <mutex>

namespace Balsammill {

class JobService::Detail {
public:
    Detail(JobServiceOptions, Dispatcher&, const RcuCell<ActiveConfig>&, const RcuCell<MemberView>&);

    void start() { table_.start(); }
    void stop();

    /// Blocks until the job's home failure domain has answered. Throws RpcError.
    balsammill::v1::JobResult call(balsammill::internal::JobSubmit, TimePoint deadline);
    void handle(const ProcessId& sender, const balsammill::internal::PeerMessage&);
    void membersChanged();
    void tick(TimePoint now);
    bool handOverShards(TimePoint deadline);
    std::size_t unfinishedJobs() const;
    std::vector<balsammill::v1::ShardState> shardStates() const;

private:
    using JobRequest = Balsammill::Detail::JobRequest;
    using JobReply = Balsammill::Detail::JobReply;
    using PeerRequest = Balsammill::Detail::PeerRequest;

    /// A request from an entry of another failure domain, which may be forwarded to the shard's primary once.
    struct Relay {
        balsammill::internal::JobSubmit call;
        /// Set once the request was forwarded.
        std::optional<TimePoint> resendAt {};
    };

    // JobService.cpp
    /// Creates the ledger once a configuration is available; returns null before. The caller must hold the mutex.
    JobLedger* ledger();
    /// Applies an input to the ledger and performs the resulting actions. Returns false if there is no ledger yet.
    bool applyToLedger(const std::function<JobActions(JobLedger&, ClockReadings)>&);
    void perform(JobActions);
    void startJob(const StartJob&);
    void onJobEnded(const JobKey&, const balsammill::v1::JobResult&);
    void recordRoles(const std::vector<ShardStatus>&);
    void recordEvent(EventKind, const std::string& subject, const std::string& detail);
    void count(std::string_view name, std::string_view labels);

    // JobServiceCalls.cpp
    JobReply requestLocally(const JobRequest&, TimePoint deadline);
    JobReply requestFromPeer(const JobRequest&, const ProcessId& target, TimePoint deadline);
    JobReply requestFromHome(const JobRequest&, TimePoint deadline);
    bool submitToLedger(const JobRequest&, RequestId waiter);
    std::vector<ProcessId> entriesOfHome(const JobRequest&) const;
    bool isLost(const ProcessId&) const;
    bool isOfOwnDomain(const ProcessId&) const;
    void handleSubmit(const ProcessId& sender, const balsammill::internal::JobSubmit&);
    void handleDone(const ProcessId& sender, const balsammill::internal::JobDone&);
    void answer(RequestId, const JobReply&);
    void sendDone(const PeerRequest&, const JobReply&);
    void redirect(RequestId, const ProcessId& primary);
    void repeatRelays(TimePoint now);
    void sendSubmit(const ProcessId& target, RequestId, balsammill::internal::JobSubmit);

    JobServiceOptions options_;
    const RcuCell<ActiveConfig>& config_;
    const RcuCell<MemberView>& members_;
    Balsammill::Detail::JobWaiters waiters_;
    Balsammill::Detail::JobRunner runner_;
    Balsammill::Detail::ShardTableWorker table_;
    LogLimiter shardCountLog_ { std::chrono::seconds(60) };
    std::atomic<bool> stopping_ { false };

    mutable std::mutex mutex_;
    std::unique_ptr<JobLedger> ledger_;
    std::uint32_t shards_ { 0 };
    std::map<ShardIndex, std::pair<Epoch, ShardRoleKind>> roles_;

    std::mutex outstandingMutex_;
    /// Target of each outstanding request to another entry.
    std::map<RequestId, ProcessId> outstandingTargets_;
    std::map<RequestId, Relay> relays_;
};

} // namespace Balsammill
