#include "DurableJobs.h"

#include "JournalBatchEncoder.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace Balsammill {

namespace {

// Delay before changes of accepted jobs are written again after a refused write.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(200);
// New jobs are refused for this time after a refused write, so that they do not wait for the end of an outage.
constexpr Duration refusalPeriod = std::chrono::milliseconds(250);
// Retry-after value for refused clients; store outages last seconds.
constexpr Duration outageRetryAfter = std::chrono::seconds(1);

// How long a request waits for the journal to be read: several times as long as that takes on a slow store.
constexpr Duration journalOpenTimeout = std::chrono::seconds(3);

// Share of the store's write rate for the journals of all shards together; the rest is for claims and renewals.
constexpr double journalWriteShare = 0.6;
// Changes that no client waits for are batched for this time; the upstreams keep reporting the finished runs until
// then.
constexpr Duration progressBatchDelay = std::chrono::milliseconds(50);

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

DurableJobs::DurableJobs(NodeContext& context, Platform::Store& store, Shards::ShardEngine& engine,
    const Shards::ShardName& shard, Epoch epoch, bool hasDurableJobs, Handlers handlers)
    : context_(context)
    , engine_(engine)
    , shard_(shard)
    , handlers_(std::move(handlers))
    , maxValueBytes_(Platform::maxValueBytes(context.settings.storeRowBytes))
    , state_(hasDurableJobs ? State::OpeningExisting : State::NoDurableJobs)
    , book_(Shards::DurableJobTable::Options { .retention = context.settings.stateRetention,
          .maxRows = Platform::maxTransactionEntries - ShardJournal::fenceEntries,
          .stateLimits =
              [this](const Shards::JobSpec& spec) {
                  // An entry of a former version may have accepted a job that does not fit.
                  return storedStateLimits(spec, maxValueBytes_)
                      .value_or(Shards::StoredStateLimits { .maxOpenOccurrences = 1, .maxListedCompletions = 0 });
              } })
    , journal_(
          context.loop, store, shard, epoch, { .stateRowBytes = maxValueBytes_, .linkMbps = context.settings.linkMbps })
    , writeTimer_(context.loop)
    , alive_(std::make_shared<bool>(true))
{
}

DurableJobs::~DurableJobs() { *alive_ = false; }

void DurableJobs::start()
{
    if (state_ == State::OpeningExisting)
        openJournal();
}

void DurableJobs::handleRecordUpdated()
{
    if (state_ != State::UpdatingRecord)
        return;
    state_ = State::OpeningNew;
    openJournal();
}

void DurableJobs::openJournal()
{
    journal_.open([this](const std::optional<std::vector<ShardJournal::Row>>& rows) {
        if (state_ == State::Closed)
            return;
        if (rows)
            handleOpened(*rows);
        else
            handlers_.fenced();
    });
}

void DurableJobs::handleOpened(const std::vector<ShardJournal::Row>& rows)
{
    std::size_t malformed = 0;
    auto runNumberFloor = journal_.runNumberFloor();
    for (const auto& [id, job] : decodeJournal(rows, malformed)) {
        // Owners of former versions may also have used a few numbers above the stored ones.
        if (job.state && !journal_.earlierRunsReserved())
            runNumberFloor.value
                = std::max(runNumberFloor.value, highestRunOf(*job.state).value + ShardJournal::runNumberBlock);
        book_.restore(id, job.spec, job.state);
    }
    engine_.setRunNumbers(runNumberFloor, journal_.lastReservedRun());
    if (!journal_.withinOpenLimits())
        book_.expectStartsBeyondLimits(unixMs());
    context_.log.event("journal.opened",
        { { "shard", shard_.value }, { "rows", std::uint64_t { rows.size() } },
            { "unfinished_jobs", std::uint64_t { book_.unfinishedJobs() } },
            { "malformed_rows", std::uint64_t { malformed } }, { "run_number_floor", runNumberFloor.value } });
    state_ = State::Open;
    submitDueJobs();
    const auto waiting = std::exchange(deferredUntilOpen_, {});
    for (const auto& deferred : waiting)
        deferred.action(true);
    handlers_.opened();
    handlers_.schedulingNeeded();
}

void DurableJobs::runWhenInheritedJobsLoaded(std::function<void(bool)> action)
{
    if (inheritedJobsLoaded())
        action(true);
    else
        deferredUntilOpen_.push_back({ .action = std::move(action), .expiresAt = monotonicNow() + journalOpenTimeout });
}

void DurableJobs::expireDeferred(TimePoint now)
{
    const auto firstExpired = std::stable_partition(deferredUntilOpen_.begin(), deferredUntilOpen_.end(),
        [now](const Deferred& each) { return now < each.expiresAt; });
    const std::vector<Deferred> expired(
        std::make_move_iterator(firstExpired), std::make_move_iterator(deferredUntilOpen_.end()));
    deferredUntilOpen_.erase(firstExpired, deferredUntilOpen_.end());
    for (const auto& each : expired)
        each.action(false);
}

bool DurableJobs::knows(const JobId& id) const { return book_.contains(id); }

void DurableJobs::submit(std::shared_ptr<const Shards::JobSpec> spec, OwnerAnswerCallback callback)
{
    if (state_ == State::Closed) {
        callback({ .kind = OwnerAnswer::Kind::NotOwner });
        return;
    }
    if (state_ == State::NoDurableJobs) {
        state_ = State::UpdatingRecord;
        handlers_.firstDurableJob();
    }
    if (state_ != State::Open) {
        deferredUntilOpen_.push_back({ .action =
                                           [this, spec = std::move(spec), callback = std::move(callback)](bool opened) {
                                               if (opened)
                                                   submit(spec, callback);
                                               else
                                                   callback({ .kind = OwnerAnswer::Kind::Unavailable });
                                           },
            .expiresAt = monotonicNow() + journalOpenTimeout });
        return;
    }
    const auto id = spec->id;
    if (!book_.contains(id) && !storedStateLimits(*spec, maxValueBytes_)) {
        context_.log.event("job.refused", { { "id", id.value }, { "shard", shard_.value }, { "reason", "size" } });
        callback({ .kind = OwnerAnswer::Kind::Refused, .notStorable = true });
        return;
    }
    if (!book_.contains(id) && monotonicNow() < refuseUntil_) {
        context_.log.event("job.refused", { { "id", id.value }, { "shard", shard_.value }, { "reason", "store" } });
        callback({ .kind = OwnerAnswer::Kind::Refused, .retryAfter = outageRetryAfter });
        return;
    }
    if (!book_.submit(std::move(spec))) {
        callback({ .kind = OwnerAnswer::Kind::Accepted });
        return;
    }
    submitCallbacks_.emplace(id, std::move(callback));
    write();
}

void DurableJobs::query(const JobId& id, OwnerAnswerCallback callback)
{
    if (state_ == State::OpeningExisting) {
        runWhenInheritedJobsLoaded([this, id, callback = std::move(callback)](bool loaded) {
            if (loaded)
                query(id, callback);
            else
                callback({ .kind = OwnerAnswer::Kind::Unavailable });
        });
        return;
    }
    if (state_ == State::Closed) {
        callback({ .kind = OwnerAnswer::Kind::NotOwner });
        return;
    }
    if (const auto state = book_.stateOf(id))
        callback({ .kind = OwnerAnswer::Kind::Known, .state = *state });
    else
        callback({ .kind = OwnerAnswer::Kind::UnknownJob });
}

void DurableJobs::cancel(const JobId& id, OwnerAnswerCallback callback)
{
    if (state_ == State::OpeningExisting) {
        runWhenInheritedJobsLoaded([this, id, callback = std::move(callback)](bool loaded) {
            if (loaded)
                cancel(id, callback);
            else
                callback({ .kind = OwnerAnswer::Kind::Unavailable });
        });
        return;
    }
    if (state_ == State::Open && book_.isSetAside(id)) {
        callback({ .kind = OwnerAnswer::Kind::Unavailable });
        return;
    }
    if (state_ != State::Open || !book_.cancel(id, unixMs())) {
        query(id, callback);
        return;
    }
    cancelCallbacks_.emplace(id, std::move(callback));
    write();
}

void DurableJobs::recordStarted(const JobId& id) { book_.recordStarted(id); }

void DurableJobs::recordProgress(const Shards::ProgressChanged& change) { book_.recordProgress(change); }

void DurableJobs::recordFinished(const Shards::FinishJob& finished)
{
    book_.recordFinished(finished.job, finished.result, unixMs());
    if (finished.result != Shards::JobResult::Completed)
        engine_.failDurable(finished.job.job, monotonicNow());
}

Shards::RunNumber DurableJobs::runsToReserve() const
{
    const auto reserved = journal_.lastReservedRun();
    const auto needed = engine_.highestNeededRun();
    const bool enough = needed.value + ShardJournal::runNumberBlock / 2 <= reserved.value;
    return enough ? reserved : Shards::RunNumber(needed.value + ShardJournal::runNumberBlock);
}

bool DurableJobs::needsWrite() const { return book_.hasChanges() || runsToReserve() > journal_.lastReservedRun(); }

void DurableJobs::write()
{
    if (state_ != State::Open || writing_ || !needsWrite())
        return;
    const auto now = monotonicNow();
    // Limits the writes of all shards together to the journals' share of the store's write rate.
    const auto shareInterval = 1e6 * static_cast<double>(shardCount_)
        / (journalWriteShare * std::max(context_.settings.storeWritesPerSecond, 1.0));
    // The journal of a shard is one partition.
    const auto partitionInterval = 1e6 / std::max(context_.settings.storePartitionWritesPerSecond, 1.0);
    const auto minWriteInterval = Duration(static_cast<Duration::rep>(std::max(shareInterval, partitionInterval)));
    const auto writeDelay
        = book_.hasUrgentChanges() ? minWriteInterval : std::max(minWriteInterval, progressBatchDelay);
    const auto due = std::max(lastWriteAt_ + writeDelay, retryAt_);
    if (now >= due) {
        writeNow();
        return;
    }
    if (due >= nextWriteAt_)
        return;
    nextWriteAt_ = due;
    writeTimer_.expires_after(due - now);
    writeTimer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        nextWriteAt_ = TimePoint::max();
        if (state_ == State::Open && !writing_ && needsWrite())
            writeNow();
    });
}

void DurableJobs::writeNow()
{
    JournalBatchEncoder encoder(journal_);
    auto batch = book_.takeBatch([this](const Shards::OccurrenceKey& key) { return engine_.progressOf(key); },
        [&encoder](const Shards::JournalChange& change) { return encoder.add(change); });
    writing_ = true;
    const auto sentAt = monotonicNow();
    lastWriteAt_ = sentAt;
    auto write = encoder.take();
    write.withinOpenLimits = batch.withinOpenLimits;
    write.lastReservedRun = runsToReserve();
    journal_.write(write, [this, batch = std::move(batch), sentAt](ShardJournal::Outcome outcome) {
        writing_ = false;
        if (state_ != State::Open)
            return;
        switch (outcome) {
        case ShardJournal::Outcome::Written:
            context_.metrics.add("balsammill_journal_writes_total", R"(outcome="written")");
            handleWritten(batch, sentAt);
            return;
        case ShardJournal::Outcome::Refused:
            context_.metrics.add("balsammill_journal_writes_total", R"(outcome="refused")");
            handleWriteFailed(batch);
            return;
        case ShardJournal::Outcome::Rejected:
            context_.metrics.add("balsammill_journal_writes_total", R"(outcome="rejected")");
            handleRejected(batch);
            return;
        case ShardJournal::Outcome::Fenced:
            context_.metrics.add("balsammill_journal_writes_total", R"(outcome="fenced")");
            handlers_.fenced();
            return;
        }
    });
}

void DurableJobs::handleWritten(const Shards::JournalBatch& batch, TimePoint sentAt)
{
    const auto now = monotonicNow();
    context_.metrics.observe("balsammill_journal_write_time_ms", {}, toMs(now - sentAt));
    engine_.extendRunNumbers(journal_.lastReservedRun());
    book_.handleWritten(batch);
    engine_.handleRecorded(batch.progress);
    for (const auto& id : batch.ended) {
        if (book_.stateOf(id) == Shards::JobState::Cancelled)
            engine_.cancelDurable(id, now);
        answer(cancelCallbacks_, id,
            { .kind = OwnerAnswer::Kind::Known, .state = book_.stateOf(id).value_or(Shards::JobState::Cancelled) });
    }
    submitDueJobs();
    for (const auto& id : batch.accepted)
        answer(submitCallbacks_, id, { .kind = OwnerAnswer::Kind::Accepted });
    handlers_.schedulingNeeded();
    write();
}

void DurableJobs::handleWriteFailed(const Shards::JournalBatch& batch)
{
    const auto now = monotonicNow();
    refuseUntil_ = now + refusalPeriod;
    retryAt_ = now + writeRetryDelay;
    book_.handleWriteFailed(batch);
    for (const auto& id : batch.accepted) {
        context_.log.event("job.refused", { { "id", id.value }, { "shard", shard_.value }, { "reason", "store" } });
        answer(submitCallbacks_, id, { .kind = OwnerAnswer::Kind::Refused, .retryAfter = outageRetryAfter });
        answer(cancelCallbacks_, id, { .kind = OwnerAnswer::Kind::UnknownJob });
    }
}

void DurableJobs::handleRejected(const Shards::JournalBatch& batch)
{
    if (batch.changes.empty()) {
        handleWriteFailed(batch);
    } else if (batch.changes.size() == 1) {
        probeStore(batch);
    } else {
        book_.splitRejected(batch);
        write();
    }
}

void DurableJobs::probeStore(const Shards::JournalBatch& batch)
{
    writing_ = true;
    lastWriteAt_ = monotonicNow();
    journal_.write({ .withinOpenLimits = batch.withinOpenLimits }, [this, batch](ShardJournal::Outcome outcome) {
        writing_ = false;
        if (state_ != State::Open)
            return;
        switch (outcome) {
        case ShardJournal::Outcome::Written:
            handleChangeRejected(batch);
            return;
        case ShardJournal::Outcome::Refused:
        case ShardJournal::Outcome::Rejected:
            handleWriteFailed(batch);
            return;
        case ShardJournal::Outcome::Fenced:
            handlers_.fenced();
            return;
        }
    });
}

void DurableJobs::handleChangeRejected(const Shards::JournalBatch& batch)
{
    const auto& change = batch.changes.front();
    const auto row = largestRow(encodeChange(change, maxValueBytes_));
    const auto effect = book_.handleChangeRejected(batch, unixMs());
    std::string_view consequence = "dropped";
    switch (effect) {
    case Shards::DurableJobTable::RejectionEffect::SubmissionDropped:
        answer(submitCallbacks_, change.job, { .kind = OwnerAnswer::Kind::Refused, .notStorable = true });
        answer(cancelCallbacks_, change.job, { .kind = OwnerAnswer::Kind::UnknownJob });
        break;
    case Shards::DurableJobTable::RejectionEffect::JobFailed:
        consequence = "failed";
        engine_.failDurable(change.job, monotonicNow());
        break;
    case Shards::DurableJobTable::RejectionEffect::JobSetAside:
        consequence = "set_aside";
        answer(cancelCallbacks_, change.job, { .kind = OwnerAnswer::Kind::Unavailable });
        break;
    }
    context_.log.event("journal.change_rejected",
        { { "id", change.job.value }, { "shard", shard_.value }, { "row", row.key },
            { "bytes", std::uint64_t { row.bytes } }, { "effect", consequence } });
    context_.metrics.add("balsammill_journal_rejected_changes_total", "effect=\"" + std::string(consequence) + "\"");
    handlers_.schedulingNeeded();
    write();
}

void DurableJobs::submitStarted(const std::vector<Shards::TransferredJob>& handedOver)
{
    for (const auto& job : handedOver)
        book_.expectStarted(job.key);
    submitDueJobs();
}

void DurableJobs::submitDueJobs()
{
    const auto now = monotonicNow();
    const auto wall = unixMs();
    for (const auto& due : book_.takeDue(wall)) {
        const auto since = due.dueUnixMs == 0 ? now : now - std::chrono::milliseconds(wall - due.dueUnixMs);
        if (due.inherited)
            engine_.inheritDurable(due.key, due.spec, since, *due.inherited);
        else
            engine_.submitDurable(due.key, due.spec, since);
    }
}

void DurableJobs::answer(std::multimap<JobId, OwnerAnswerCallback>& waiting, const JobId& id, const OwnerAnswer& result)
{
    const auto [first, last] = waiting.equal_range(id);
    std::vector<OwnerAnswerCallback> callbacks;
    for (auto it = first; it != last; ++it)
        callbacks.push_back(std::move(it->second));
    waiting.erase(first, last);
    for (const auto& callback : callbacks)
        callback(result);
}

void DurableJobs::advance()
{
    expireDeferred(monotonicNow());
    if (state_ != State::Open)
        return;
    submitDueJobs();
    book_.expire(unixMs());
    write();
}

void DurableJobs::close()
{
    state_ = State::Closed;
    const auto waiting = std::exchange(deferredUntilOpen_, {});
    for (const auto& deferred : waiting)
        deferred.action(true);
    for (auto* open : { &submitCallbacks_, &cancelCallbacks_ }) {
        const auto callbacks = std::exchange(*open, {});
        for (const auto& [id, callback] : callbacks)
            callback({ .kind = OwnerAnswer::Kind::InDoubt });
    }
}

} // namespace Balsammill
