#include "ForwardReceiverTable.h"

#include <algorithm>

namespace Balsammill::Detail {

ForwardAcceptance ForwardReceiverTable::accept(const ForwardKey& key, TimePoint deadline)
{
    if (tasks_.contains(key))
        return ForwardAcceptance::Duplicate;
    if (tasks_.size() >= limits_.maxTasks)
        return ForwardAcceptance::Full;
    tasks_.emplace(key, Task { .deadline = deadline });
    return ForwardAcceptance::Submit;
}

void ForwardReceiverTable::submitted(const ForwardKey& key, TaskId task)
{
    if (const auto found = tasks_.find(key); found != tasks_.end())
        found->second.dispatched = task;
}

void ForwardReceiverTable::finish(
    const ForwardKey& key, std::shared_ptr<const balsammill::internal::TaskDone> reply, TimePoint now)
{
    const auto found = tasks_.find(key);
    if (found == tasks_.end())
        return;
    auto& task = found->second;
    task.ended = true;
    task.notStarted = reply->verdict() == balsammill::v1::VERDICT_NOT_RUN;
    task.evictAt = std::max(task.deadline, now + limits_.retention);
    storeReply(key, task, std::move(reply));
}

void ForwardReceiverTable::storeReply(
    const ForwardKey& key, Task& task, std::shared_ptr<const balsammill::internal::TaskDone> reply)
{
    replyBytes_ += reply->ByteSizeLong();
    task.reply = std::move(reply);
    replies_.push_back(key);
    while (replyBytes_ > limits_.maxReplyBytes) {
        auto& oldest = tasks_.at(replies_.front());
        replyBytes_ -= oldest.reply->ByteSizeLong();
        oldest.reply.reset();
        replies_.pop_front();
    }
}

RevocationDecision ForwardReceiverTable::revoke(const ForwardKey& key, TimePoint deadline, TimePoint now)
{
    const auto found = tasks_.find(key);
    if (found == tasks_.end()) {
        // Without a tombstone, a ForwardTask that arrives late would start, so NotStarted cannot be guaranteed.
        if (tasks_.size() >= limits_.maxTasks)
            return MayHaveStarted {};
        tasks_.emplace(key,
            Task { .deadline = deadline,
                .ended = true,
                .notStarted = true,
                .evictAt = std::max(deadline, now + limits_.retention) });
        return NotStarted {};
    }
    const auto& task = found->second;
    if (task.notStarted)
        return NotStarted {};
    if (task.reply)
        return Answered { task.reply };
    if (!task.ended && task.dispatched)
        return TryCancel { *task.dispatched };
    return MayHaveStarted {};
}

void ForwardReceiverTable::tick(TimePoint now)
{
    while (!replies_.empty()) {
        const auto& task = tasks_.at(replies_.front());
        if (task.evictAt > now)
            break;
        replyBytes_ -= task.reply->ByteSizeLong();
        tasks_.erase(replies_.front());
        replies_.pop_front();
    }
    std::erase_if(tasks_,
        [&](const auto& item) { return item.second.ended && !item.second.reply && item.second.evictAt <= now; });
}

} // namespace Balsammill::Detail
