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

    /// Blocks until the job's home has answered; throws RpcError.
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

    /// A request of another domain's entry, which may be passed on to the shard's primary once.
    struct Relay {
        balsammill::internal::JobSubmit call;
        /// Set once it was passed on.
        std::optional<TimePoint> resendAt {};
    };

    // JobService.cpp
    /// Creates the ledger once a configuration is known; null before. Needs the mutex.
    JobLedger* ledger();
    /// Feeds the ledger and carries out its actions; false if there is no ledger yet.
    bool drive(const std::function<JobActions(JobLedger&, LedgerTime)>&);
    void perform(JobActions);
    void startJob(const StartJob&);
    void ended(const JobKey&, const balsammill::v1::JobResult&);
    void recordRoles(const std::vector<ShardStatus>&);
    void note(EventKind, const std::string& subject, const std::string& detail);
    void count(std::string_view name, std::string_view labels);

    // JobServiceCalls.cpp
    JobReply askHere(const JobRequest&, TimePoint deadline);
    JobReply askPeer(const JobRequest&, const ProcessId& target, TimePoint deadline);
    JobReply askHome(const JobRequest&, TimePoint deadline);
    bool give(const JobRequest&, RequestId waiter);
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

    std::mutex askedMutex_;
    /// Target of each outstanding request to another entry.
    std::map<RequestId, ProcessId> asked_;
    std::map<RequestId, Relay> relays_;
};

} // namespace Balsammill
