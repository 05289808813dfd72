#include "balsammill/shards/DurableJobTable.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards {

struct DurableJobTable::Entry {
    // Null once the state is final.
    std::shared_ptr<const JobSpec> spec;
    // Needed for the counts by queue after the specification is released.
    QueueName queue;
    JobState state { JobState::Queued };
    // State that the client sees; becomes final only once the final state is written.
    JobState visibleState { JobState::Queued };
    bool accepted { false };
    bool specWritten { false };
    bool removing { false };
    // The final state was rejected by the store.
    bool setAside { false };
    std::int64_t endedUnixMs { 0 };
    CompletedOccurrences completed;
    // Progress of occurrences that are not completed.
    std::map<std::uint32_t, JobProgress> open;
    std::uint32_t nextOccurrence { 0 };
    // Occurrences below this number may have been started by a former owner.
    std::uint32_t mayHaveStartedBelow { 0 };
    // Occurrences below this number have been started by a former owner, whatever the clock says.
    std::uint32_t dueBelow { 0 };
    // Occurrences that takeDue() has returned, and those of them that are completed in the store. A later owner has to
    // continue the others: it takes as many of the lowest occurrences that are not completed in the store.
    std::size_t taken { 0 };
    std::size_t storedCompletions { 0 };
    std::size_t restoredCompletions { 0 };
    StoredStateLimits limits;
    // The stored specification has the form that goes with the compact state.
    bool compactWritten { false };
    bool restored { false };

    bool isCompact() const { return compactWritten || completed.count() > limits.maxListedCompletions; }
    std::size_t openInStore() const { return taken - (storedCompletions - restoredCompletions); }
    bool mayTakeNext() const
    {
        return nextOccurrence < mayHaveStartedBelow || openInStore() < limits.maxOpenOccurrences;
    }
    bool isNextDue(std::int64_t nowUnixMs) const
    {
        return nextOccurrence < dueBelow || dueUnixMs(nextOccurrence) <= nowUnixMs;
    }
    bool hasProgress() const { return !open.empty() || completed.count() > 0; }

    std::uint32_t occurrenceCount() const { return spec->schedule ? spec->schedule->count : 1; }
    std::int64_t dueUnixMs(std::uint32_t occurrence) const
    {
        if (!spec->schedule)
            return 0;
        const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(spec->schedule->interval).count();
        return spec->schedule->firstRunUnixMs + interval * occurrence;
    }
};

DurableJobTable::DurableJobTable()
    : DurableJobTable(Options {})
{
}
DurableJobTable::DurableJobTable(const Options& options)
    : options_(options)
{
}
DurableJobTable::~DurableJobTable() = default;
DurableJobTable::DurableJobTable(DurableJobTable&&) noexcept = default;
DurableJobTable& DurableJobTable::operator=(DurableJobTable&&) noexcept = default;

DurableJobTable::Entry* DurableJobTable::find(const JobId& id)
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second.get();
}

const DurableJobTable::Entry* DurableJobTable::find(const JobId& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second.get();
}

void DurableJobTable::restore(
    const JobId& id, std::shared_ptr<const JobSpec> spec, const std::optional<JobStateRecord>& record)
{
    // A job without a specification cannot be continued unless its state is final; no batch leaves such rows behind.
    if (spec == nullptr && !(record && isFinal(record->state)))
        return;
    auto entry = std::make_unique<Entry>();
    entry->specWritten = entry->restored = true;
    if (spec != nullptr)
        entry->queue = spec->queue;
    if (record) {
        entry->state = entry->visibleState = record->state;
        entry->endedUnixMs = record->endedUnixMs;
        entry->compactWritten = record->completions.has_value();
        entry->completed = record->completions.value_or(CompletedOccurrences());
        for (const auto& each : record->occurrences) {
            if (each.completed)
                entry->completed.insert(each.occurrence);
            else
                entry->open[each.occurrence] = each.progress;
        }
        entry->storedCompletions = entry->restoredCompletions = entry->completed.count();
    }
    setAccepted(*entry);
    if (isFinal(entry->state)) {
        --unfinished_;
        ended_.emplace(entry->endedUnixMs, id);
    } else {
        entry->spec = std::move(spec);
        entry->limits = limitsOf(*entry->spec);
        jobsWithPendingOccurrences_.insert(id);
    }
    entries_[id] = std::move(entry);
}

void DurableJobTable::expectStartsBeyondLimits(std::int64_t nowUnixMs)
{
    // The clock of the former owner may have been ahead.
    constexpr std::int64_t clockMarginMs = 5'000;
    for (const auto& [id, entry] : entries_) {
        if (isFinal(entry->state))
            continue;
        const auto count = entry->occurrenceCount();
        while (entry->mayHaveStartedBelow < count
            && entry->dueUnixMs(entry->mayHaveStartedBelow) <= nowUnixMs + clockMarginMs)
            ++entry->mayHaveStartedBelow;
        beyondLimits_.insert(id);
    }
}

void DurableJobTable::expectStarted(const OccurrenceKey& key)
{
    auto* entry = find(key.job);
    if (entry == nullptr || isFinal(entry->state) || key.occurrence >= entry->occurrenceCount())
        return;
    entry->dueBelow = std::max(entry->dueBelow, key.occurrence + 1);
    entry->mayHaveStartedBelow = std::max(entry->mayHaveStartedBelow, entry->dueBelow);
}

bool DurableJobTable::areOpenLimitsKept()
{
    std::erase_if(beyondLimits_, [this](const JobId& id) {
        const auto* entry = find(id);
        return entry == nullptr || isFinal(entry->visibleState)
            || (entry->nextOccurrence >= entry->mayHaveStartedBelow
                && entry->openInStore() <= entry->limits.maxOpenOccurrences);
    });
    return beyondLimits_.empty();
}

StoredStateLimits DurableJobTable::limitsOf(const JobSpec& spec) const
{
    return options_.stateLimits ? options_.stateLimits(spec) : StoredStateLimits {};
}

bool DurableJobTable::submit(std::shared_ptr<const JobSpec> spec)
{
    const auto id = spec->id;
    if (const auto* existing = find(id))
        return !existing->accepted;
    auto entry = std::make_unique<Entry>();
    entry->queue = spec->queue;
    entry->limits = limitsOf(*spec);
    entry->spec = std::move(spec);
    entries_[id] = std::move(entry);
    dirty_.insert(id);
    urgent_ = true;
    return true;
}

bool DurableJobTable::contains(const JobId& id) const { return find(id) != nullptr; }

std::optional<JobState> DurableJobTable::stateOf(const JobId& id) const
{
    const auto* entry = find(id);
    return entry == nullptr || !entry->accepted ? std::nullopt : std::optional(entry->visibleState);
}

bool DurableJobTable::cancel(const JobId& id, std::int64_t nowUnixMs)
{
    auto* entry = find(id);
    if (entry == nullptr || isFinal(entry->visibleState))
        return false;
    if (!isFinal(entry->state))
        finish(*entry, JobState::Cancelled, nowUnixMs);
    dirty_.insert(id);
    return true;
}

void DurableJobTable::setState(Entry& entry, JobState state)
{
    const auto isWaiting = [&] { return entry.accepted && entry.state == JobState::Queued; };
    const bool before = isWaiting();
    entry.state = state;
    updateWaitingCount(entry, before, isWaiting());
}

void DurableJobTable::setAccepted(Entry& entry)
{
    if (entry.accepted)
        return;
    entry.accepted = true;
    ++unfinished_;
    updateWaitingCount(entry, false, entry.state == JobState::Queued);
}

void DurableJobTable::updateWaitingCount(const Entry& entry, bool before, bool after)
{
    if (before == after)
        return;
    auto& count = waiting_[entry.queue];
    count += after ? 1 : -1;
    if (count == 0)
        waiting_.erase(entry.queue);
}

void DurableJobTable::finish(Entry& entry, JobState state, std::int64_t nowUnixMs)
{
    setState(entry, state);
    entry.endedUnixMs = nowUnixMs;
    urgent_ = true;
}

void DurableJobTable::recordStarted(const JobId& id)
{
    auto* entry = find(id);
    if (entry == nullptr || entry->state != JobState::Queued)
        return;
    setState(*entry, JobState::Running);
    entry->visibleState = JobState::Running;
}

void DurableJobTable::recordProgress(const ProgressChanged& change)
{
    if (auto* entry = find(change.job.job);
        entry != nullptr && !isFinal(entry->state) && !entry->completed.contains(change.job.occurrence))
        entry->open.try_emplace(change.job.occurrence);
    // Also for a job that is not in the table any more: its next batch records the mark.
    unwritten_[change.job] = change.mark;
    dirty_.insert(change.job.job);
}

void DurableJobTable::readProgress(const JobId& id, Entry* entry, const ProgressReader& progressOf)
{
    if (entry == nullptr)
        return;
    for (auto it = unwritten_.lower_bound({ .job = id }); it != unwritten_.end() && it->first.job == id; ++it) {
        const auto occurrence = entry->open.find(it->first.occurrence);
        if (occurrence == entry->open.end())
            continue;
        if (auto progress = progressOf(it->first))
            occurrence->second = std::move(*progress);
    }
}

void DurableJobTable::takeMarks(const JobId& id, JournalBatch& batch)
{
    for (auto it = unwritten_.lower_bound({ .job = id }); it != unwritten_.end() && it->first.job == id;) {
        batch.progress.push_back({ .job = it->first, .mark = it->second });
        it = unwritten_.erase(it);
    }
}

void DurableJobTable::recordFinished(const OccurrenceKey& key, JobResult result, std::int64_t nowUnixMs)
{
    auto* entry = find(key.job);
    if (entry == nullptr || isFinal(entry->state))
        return;
    if (result == JobResult::Completed) {
        entry->completed.insert(key.occurrence);
        entry->open.erase(key.occurrence);
        if (entry->completed.count() >= entry->occurrenceCount())
            finish(*entry, JobState::Completed, nowUnixMs);
    } else {
        finish(*entry, JobState::Failed, nowUnixMs);
    }
    dirty_.insert(key.job);
}

std::vector<DueOccurrence> DurableJobTable::takeDue(std::int64_t nowUnixMs)
{
    std::vector<DueOccurrence> due;
    for (auto it = jobsWithPendingOccurrences_.begin(); it != jobsWithPendingOccurrences_.end();) {
        auto& entry = *entries_.at(*it);
        const auto count = isFinal(entry.state) ? 0 : entry.occurrenceCount();
        while (entry.nextOccurrence < count && entry.mayTakeNext() && entry.isNextDue(nowUnixMs)) {
            const auto number = entry.nextOccurrence++;
            if (entry.completed.contains(number))
                continue;
            DueOccurrence next {
                .key = { .job = *it, .occurrence = number }, .spec = entry.spec, .dueUnixMs = entry.dueUnixMs(number)
            };
            if (entry.restored) {
                const auto existing = entry.open.find(number);
                next.inherited = existing == entry.open.end() ? JobProgress {} : existing->second;
            }
            due.push_back(std::move(next));
            ++entry.taken;
        }
        it = entry.nextOccurrence >= count ? jobsWithPendingOccurrences_.erase(it) : std::next(it);
    }
    return due;
}

void DurableJobTable::expire(std::int64_t nowUnixMs)
{
    const auto retentionMs = std::chrono::duration_cast<std::chrono::milliseconds>(options_.retention).count();
    while (!ended_.empty() && ended_.begin()->first + retentionMs <= nowUnixMs) {
        const auto id = ended_.begin()->second;
        ended_.erase(ended_.begin());
        auto* entry = find(id);
        if (entry == nullptr)
            continue;
        entry->removing = true;
        dirty_.insert(id);
    }
}

bool DurableJobTable::isSetAside(const JobId& id) const
{
    const auto* entry = find(id);
    return entry != nullptr && entry->setAside;
}

JobStateRecord DurableJobTable::recordOf(const Entry& entry)
{
    JobStateRecord record { .state = entry.state, .endedUnixMs = entry.endedUnixMs };
    if (isFinal(entry.state))
        return record;
    if (entry.isCompact()) {
        record.completions = entry.completed;
    } else {
        for (const auto number : entry.completed.toVector())
            record.occurrences.push_back({ .occurrence = number, .completed = true });
    }
    for (const auto& [number, progress] : entry.open)
        record.occurrences.push_back({ .occurrence = number, .progress = progress });
    return record;
}

JournalChange DurableJobTable::changeOf(const JobId& id, const Entry& entry)
{
    JournalChange change { .job = id };
    if (entry.removing) {
        change.removeState = true;
        return change;
    }
    const bool final = isFinal(entry.state);
    if (final || entry.hasProgress())
        change.newState = recordOf(entry);
    const bool formChanges = change.hasCompactState() && !entry.compactWritten;
    if ((!entry.specWritten || formChanges) && !final)
        change.newSpec = entry.spec;
    change.removeSpec = final && entry.specWritten;
    return change;
}

std::vector<JobId> DurableJobTable::nextJobs()
{
    std::vector<JobId> jobs;
    if (rejectedGroups_.empty() || lastBatchWasGroup_) {
        for (auto it = dirty_.begin(); it != dirty_.end() && jobs.size() < options_.maxRows; ++it) {
            if (!suspects_.contains(*it))
                jobs.push_back(*it);
        }
    }
    lastBatchWasGroup_ = jobs.empty() && !rejectedGroups_.empty();
    if (lastBatchWasGroup_) {
        jobs = std::move(rejectedGroups_.front());
        rejectedGroups_.pop_front();
        for (const auto& id : jobs)
            suspects_.erase(id);
    }
    return jobs;
}

JournalBatch DurableJobTable::takeBatch(const ProgressReader& progressOf, const ChangeSink& sink)
{
    JournalBatch batch;
    batch.withinOpenLimits = areOpenLimitsKept();
    const auto jobs = nextJobs();
    auto next = jobs.begin();
    for (std::size_t rows = 0; next != jobs.end() && rows + 2 <= options_.maxRows; ++next) {
        const auto& id = *next;
        auto* existing = find(id);
        readProgress(id, existing, progressOf);
        if (existing != nullptr && !existing->setAside) {
            const auto& entry = *existing;
            auto change = changeOf(id, entry);
            if (sink && !sink(change))
                break;
            if (!entry.accepted)
                batch.accepted.push_back(id);
            if (change.newState && isFinal(entry.state) && !isFinal(entry.visibleState))
                batch.ended.push_back(id);
            rows += change.removeState ? 1 : 2;
            batch.changes.push_back(std::move(change));
        }
        takeMarks(id, batch);
        dirty_.erase(id);
    }
    if (lastBatchWasGroup_ && next != jobs.end()) {
        rejectedGroups_.emplace_front(next, jobs.end());
        suspects_.insert(next, jobs.end());
    }
    urgent_ = urgent_ && hasChanges();
    return batch;
}

void DurableJobTable::handleWritten(const JournalBatch& batch)
{
    for (const auto& change : batch.changes) {
        auto* entry = find(change.job);
        if (entry == nullptr)
            continue;
        if (change.removeState) {
            entries_.erase(change.job);
            continue;
        }
        entry->specWritten = (entry->specWritten || change.newSpec != nullptr) && !change.removeSpec;
        entry->compactWritten = entry->compactWritten || change.hasCompactState();
        if (change.newState && !isFinal(change.newState->state))
            entry->storedCompletions = change.newState->completedOccurrences();
        if (!entry->accepted && !isFinal(entry->state))
            jobsWithPendingOccurrences_.insert(change.job);
        setAccepted(*entry);
        if (change.newState && isFinal(change.newState->state) && !isFinal(entry->visibleState)) {
            --unfinished_;
            entry->visibleState = change.newState->state;
            entry->spec.reset();
            entry->open.clear();
            entry->completed = {};
            jobsWithPendingOccurrences_.erase(change.job);
            ended_.emplace(entry->endedUnixMs, change.job);
        }
    }
}

void DurableJobTable::putBackMarks(const JournalBatch& batch)
{
    for (const auto& progress : batch.progress) {
        auto& unwritten = unwritten_[progress.job];
        unwritten = std::max(unwritten, progress.mark);
        dirty_.insert(progress.job.job);
    }
}

void DurableJobTable::handleWriteFailed(const JournalBatch& batch)
{
    for (const auto& change : batch.changes) {
        auto* entry = find(change.job);
        if (entry == nullptr)
            continue;
        if (!entry->accepted) {
            entries_.erase(change.job);
            continue;
        }
        dirty_.insert(change.job);
        urgent_ = urgent_ || isFinal(entry->state);
    }
    putBackMarks(batch);
}

void DurableJobTable::splitRejected(const JournalBatch& batch)
{
    putBackMarks(batch);
    const auto half = batch.changes.begin() + static_cast<std::ptrdiff_t>(batch.changes.size() / 2);
    for (const auto& [first, last] : { std::pair(batch.changes.begin(), half), std::pair(half, batch.changes.end()) }) {
        std::vector<JobId> group;
        for (auto it = first; it != last; ++it)
            group.push_back(it->job);
        suspects_.insert(group.begin(), group.end());
        dirty_.insert(group.begin(), group.end());
        rejectedGroups_.push_back(std::move(group));
    }
    urgent_ = true;
}

DurableJobTable::RejectionEffect DurableJobTable::handleChangeRejected(
    const JournalBatch& batch, std::int64_t nowUnixMs)
{
    const auto& id = batch.changes.front().job;
    auto* entry = find(id);
    putBackMarks(batch);
    if (entry == nullptr || !entry->accepted) {
        entries_.erase(id);
        return RejectionEffect::SubmissionDropped;
    }
    dirty_.insert(id);
    if (isFinal(batch.changes.front().newState.value_or(JobStateRecord {}).state)
        || batch.changes.front().removeState) {
        entry->setAside = true;
        return RejectionEffect::JobSetAside;
    }
    if (!isFinal(entry->state))
        finish(*entry, JobState::Failed, nowUnixMs);
    suspects_.insert(id);
    rejectedGroups_.push_back({ id });
    return RejectionEffect::JobFailed;
}

} // namespace Balsammill::Shards
