#pragma once

#include "SimulatedDurableJobs.h"
#include "SimulatedLink.h"
#include "SimulatedSession.h"

namespace Balsammill::Shards::Testing {

/// As ShardServer: the owner of a shard.
class SimulatedOwner {
public:
    struct Handlers {
        std::function<void()> fenced;
        std::function<void(const SimulatedSubmitter&, OwnerResult)> answer;
        std::function<void(const SimulatedSubmitter&)> requestConfirmation;
        std::function<bool(std::uint64_t)> holdsRequest;
    };

    SimulatedOwner(SimulatedProcess&, int shard, const ShardRecord&, Handlers);
    SimulatedOwner(const SimulatedOwner&) = delete;
    SimulatedOwner& operator=(const SimulatedOwner&) = delete;
    ~SimulatedOwner();

    /// link: null for a request of this process.
    void submit(const SimulatedSubmitter&, const std::shared_ptr<SimulatedLink>& link, std::shared_ptr<const JobSpec>);
    void submitDurable(const std::shared_ptr<const JobSpec>& job) { durable_.submit(job); }
    void cancel(const SimulatedSubmitter&);
    void cancelAllFrom(const SimulatedLink&);
    bool holds(const SimulatedSubmitter& submitter) const { return bySubmitter_.contains(submitter); }
    /// False if there is no such submission.
    bool confirm(const SimulatedSubmitter&, const std::shared_ptr<SimulatedLink>&);
    void takeOver(const SimulatedHandOver&);
    void handlePredecessorGone();
    SimulatedHandOver handOver();
    /// Answers all submissions as in doubt.
    void abandon();
    void advance();

    std::uint64_t epoch() const { return record_.epoch; }
    const ProcessKey& predecessor() const { return predecessor_; }
    int startedAt() const { return startedAt_; }

private:
    struct Submission {
        SimulatedSubmitter submitter;
        std::uint64_t link { 0 };
    };

    SubmissionId addSubmission(const SimulatedSubmitter&, const SimulatedLink*);
    OriginId addOrigin(const std::shared_ptr<SimulatedLink>&);
    OriginId originInForce(OriginId) const;
    /// The caller runs the scheduler afterwards.
    void removeSubmission(const SimulatedSubmitter&);
    void adoptSubmission(const SimulatedHandOver::Job&);
    void checkUnconfirmed();
    void confirmOrigins();
    bool inheritedStateKnown() const;
    void handleInheritedStateKnown();
    void openSessions();
    void runScheduler();
    void execute(const ShardAction&);

    SimulatedProcess& process_;
    int shard_;
    ShardRecord record_;
    int startedAt_;
    Handlers handlers_;
    ProcessKey predecessor_;
    ShardEngine engine_;
    SimulatedDurableJobs durable_;
    // Handed over, until the journal is read.
    std::vector<TransferredJob> inheritedDurableJobs_;
    std::map<UpstreamId, std::shared_ptr<SimulatedSession>> sessions_;
    std::map<SubmissionId, Submission> submissions_;
    std::map<SimulatedSubmitter, SubmissionId> bySubmitter_;
    std::map<SimulatedSubmitter, int> unconfirmed_;
    std::map<std::uint64_t, std::weak_ptr<SimulatedLink>> originLinks_;
    std::uint64_t lastSubmission_ { 0 };
    bool scheduling_ { false };
    bool scheduleAgain_ { false };
    bool abandoned_ { false };
};

} // namespace Balsammill::Shards::Testing
