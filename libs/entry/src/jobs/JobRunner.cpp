#include "JobRunner.h"

#include "balsammill/config/ActiveConfig.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/rpc/VerdictMessage.h"
#include "balsammill/schema/Schema.h"

#include <optional>
#include <utility>

namespace Balsammill::Detail {

namespace {

using balsammill::v1::JobResult;

} // namespace

struct JobRunner::Run {
    JobKey key;
    std::shared_ptr<const balsammill::v1::SubmitRequest> request;
    std::shared_ptr<const ActiveConfig> config;
    TimePoint deadline;

    std::mutex mutex;
    std::vector<std::optional<TaskId>> tasks;
    std::vector<std::string> answers;
    /// Number of tasks submitted to the dispatcher that have not ended, plus one while tasks are being submitted.
    std::size_t pending { 1 };
    std::optional<RpcErrorDetails> failure;
    bool anyNotRun { false };
    bool anyStarted { false };
    bool anyInDoubt { false };

    void record(std::size_t index, DispatchResult&&);
    void recordVerdict(Verdict);
    JobResult result();
};

void JobRunner::Run::recordVerdict(Verdict verdict)
{
    anyNotRun = anyNotRun || verdict == Verdict::NotRun;
    anyStarted = anyStarted || verdict != Verdict::NotRun;
    anyInDoubt = anyInDoubt || verdict == Verdict::MayHaveRun;
}

void JobRunner::Run::record(std::size_t index, DispatchResult&& result)
{
    tasks[index].reset();
    if (auto* answer = std::get_if<DispatchAnswer>(&result)) {
        answers[index] = std::move(answer->answer);
        recordVerdict(Verdict::Ran);
        return;
    }
    auto& error = std::get<RpcErrorDetails>(result);
    recordVerdict(error.verdict);
    if (!failure) {
        error.message = "task " + std::to_string(index) + ": " + error.message;
        failure = std::move(error);
    }
}

JobResult JobRunner::Run::result()
{
    JobResult result;
    result.set_job_id(request->job_id());
    if (failure) {
        result.set_state(balsammill::v1::JOB_STATE_FAILED);
        result.set_error_code(std::string(nameOf(failure->code)));
        result.set_error_message(failure->message);
        const auto verdict = !anyStarted ? Verdict::NotRun
            : anyInDoubt || anyNotRun    ? Verdict::MayHaveRun
                                         : Verdict::Ran;
        result.set_verdict(toProto(verdict));
        return result;
    }
    result.set_state(balsammill::v1::JOB_STATE_COMPLETE);
    result.set_verdict(balsammill::v1::VERDICT_RAN);
    const auto* method = config->schema->findMethod(request->method());
    for (auto& answer : answers) {
        if (request->tasks_json_size() > 0)
            result.add_answers_json(config->schema->answerToJson(*method, answer));
        else
            result.add_answers(std::move(answer));
    }
    return result;
}

JobRunner::JobRunner(Dispatcher& dispatcher, Completion completion)
    : dispatcher_(dispatcher)
    , completion_(std::move(completion))
{
}

void JobRunner::run(const JobKey& key, const std::shared_ptr<const balsammill::v1::SubmitRequest>& request,
    std::shared_ptr<const ActiveConfig> config, TimePoint deadline)
{
    auto run = std::make_shared<Run>();
    run->key = key;
    run->request = request;
    run->config = std::move(config);
    run->deadline = deadline;
    run->tasks.resize(static_cast<std::size_t>(request->tasks_size()));
    run->answers.resize(run->tasks.size());
    {
        std::lock_guard lock(mutex_);
        runs_[key] = run;
    }
    submitTasks(run);
}

void JobRunner::submitTasks(const std::shared_ptr<Run>& run)
{
    const auto& request = *run->request;
    const auto* method = run->config->schema ? run->config->schema->findMethod(request.method()) : nullptr;
    for (std::size_t index = 0; index < run->tasks.size(); ++index) {
        {
            std::lock_guard lock(run->mutex);
            if (!method && !run->failure)
                run->failure
                    = RpcErrorDetails { ErrorCode::Unavailable, "the method is no longer configured", Verdict::NotRun };
            if (run->failure) {
                run->recordVerdict(Verdict::NotRun);
                break;
            }
            ++run->pending;
        }
        DispatchTask task { .service = method->service,
            .method = method->name,
            .clientAccount = ClientAccountName { request.team() },
            .taskName = request.job_id() + "/" + std::to_string(index),
            .idempotent = method->idempotent,
            .startAtMostOnce = true,
            .urgency = method->urgency,
            .slots = method->slots,
            .declaredRunTime = method->declaredRunTime,
            .queueLimit = method->queueLimit,
            .deadline = run->deadline,
            .request = request.tasks(static_cast<int>(index)) };
        const auto ended = std::make_shared<bool>(false);
        const auto id = dispatcher_.submit(std::move(task), [this, run, index, ended](DispatchResult result) {
            bool failed = false;
            {
                std::lock_guard lock(run->mutex);
                *ended = true;
                const bool failedBefore = run->failure.has_value();
                run->record(index, std::move(result));
                failed = run->failure && !failedBefore;
            }
            if (failed)
                cancelQueued(run);
            finish(run);
        });
        std::lock_guard lock(run->mutex);
        if (!*ended)
            run->tasks[index] = id;
    }
    bool failed = false;
    {
        std::lock_guard lock(run->mutex);
        failed = run->failure.has_value();
    }
    // A task may have failed before the ids of later tasks were stored, so cancel those now.
    if (failed)
        cancelQueued(run);
    finish(run);
}

void JobRunner::cancelQueued(const std::shared_ptr<Run>& run)
{
    std::vector<TaskId> tasks;
    {
        std::lock_guard lock(run->mutex);
        for (const auto& task : run->tasks) {
            if (task)
                tasks.push_back(*task);
        }
    }
    // The lock is not held here, because the completions of cancelled tasks acquire it.
    for (const auto task : tasks)
        dispatcher_.cancel(task);
}

void JobRunner::finish(const std::shared_ptr<Run>& run)
{
    JobResult result;
    {
        std::lock_guard lock(run->mutex);
        if (--run->pending > 0)
            return;
        try {
            result = run->result();
        } catch (const RpcError& error) {
            // An answer that does not match its message type fails the whole job.
            run->failure = error.details();
            result = run->result();
        }
    }
    {
        std::lock_guard lock(mutex_);
        runs_.erase(run->key);
    }
    completion_(run->key, result);
}

void JobRunner::cancel(const JobKey& key)
{
    std::shared_ptr<Run> run;
    {
        std::lock_guard lock(mutex_);
        const auto found = runs_.find(key);
        if (found == runs_.end())
            return;
        run = found->second;
    }
    {
        std::lock_guard lock(run->mutex);
        if (!run->failure)
            run->failure = RpcErrorDetails { ErrorCode::Canceled, "the job was canceled", Verdict::MayHaveRun };
    }
    cancelQueued(run);
}

} // namespace Balsammill::Detail
