#include "DurableJobs.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Balsammill {

namespace {

// After a refused write: the store is asked again that soon for what is accepted already.
constexpr Duration writeRetryDelay = std::chrono::milliseconds(200);
// New jobs are refused for this time after a refused write, so that they do not wait for an outage to end.
constexpr Duration refusalTime = std::chrono::milliseconds(250);
// What a refused client is told to wait; outages of the store last seconds.
constexpr Duration retryAfterOutage = std::chrono::seconds(1);

// Share of the store's writes that the journals of all shards together may use; the rest is for claims and renewals.
constexpr double journalShareOfWrites = 0.6;
// Progress that nobody waits for is gathered for this time; until then its ends stay listed by the upstreams.
constexpr Duration progressDelay = std::chrono::milliseconds(50);

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

DurableJobs::DurableJobs(NodeContext& context, Platform::Store& store, Shards::ShardEngine& engine,
    const Shards::ShardName& shard, Epoch epoch, bool declared, Handlers handlers)
    : context_(context)
    , engine_(engine)
    , shard_(shard)
    , handlers_(std::move(handlers))
    , state_(declared ? State::OpeningInherited : State::Undeclared)
    , book_(Shards::JobBook::Options { .retention = context.settings.stateRetention })
    , journal_(context.loop, store, shard, epoch)
    , writeTimer_(context.loop)
    , alive_(std::make_shared<bool>(true))
{
}

DurableJobs::~DurableJobs() { *alive_ = false; }

void DurableJobs::start()
{
    if (state_ == State::OpeningInherited)
        openJournal();
}

void DurableJobs::handleDeclared()
{
    if (state_ != State::Declaring)
        return;
    state_ = State::OpeningFirst;
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
    for (const auto& [id, job] : decodeJournal(rows, malformed))
        book_.restore(id, job.spec, job.state);
    context_.log.event("journal.opened",
        { { "shard", shard_.value }, { "rows", std::uint64_t { rows.size() } },
            { "unfinished_jobs", std::uint64_t { book_.unfinishedJobs() } },
            { "malformed_rows", std::uint64_t { malformed } } });
    state_ = State::Open;
    releaseDue();
    const auto waiting = std::exchange(onceOpen_, {});
    for (const auto& action : waiting)
        action();
    handlers_.opened();
    handlers_.progressed();
}

void DurableJobs::whenOpen(std::function<void()> action)
{
    if (state_ == State::Open)
        action();
    else
        onceOpen_.push_back(std::move(action));
}

bool DurableJobs::knows(const JobId& id) const { return book_.knows(id); }

void DurableJobs::submit(std::shared_ptr<const Shards::JobSpec> spec, OwnerAnswerCallback callback)
{
    if (state_ == State::Closed) {
        callback({ .kind = OwnerAnswer::Kind::NotOwner });
        return;
    }
    if (state_ == State::Undeclared) {
        state_ = State::Declaring;
        handlers_.declare();
    }
    if (state_ != State::Open) {
        whenOpen([this, spec = std::move(spec), callback = std::move(callback)] { submit(spec, callback); });
        return;
    }
    const auto id = spec->id;
    if (!book_.knows(id) && monotonicNow() < refusingUntil_) {
        context_.log.event("job.refused", { { "id", id.value }, { "shard", shard_.value }, { "reason", "store" } });
        callback({ .kind = OwnerAnswer::Kind::Refused, .retryAfter = retryAfterOutage });
        return;
    }
    if (!book_.submit(std::move(spec))) {
        callback({ .kind = OwnerAnswer::Kind::Accepted });
        return;
    }
    submitters_.emplace(id, std::move(callback));
    write();
}

void DurableJobs::query(const JobId& id, OwnerAnswerCallback callback)
{
    if (state_ == State::OpeningInherited) {
        whenOpen([this, id, callback = std::move(callback)] { query(id, callback); });
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
    if (state_ == State::OpeningInherited) {
        whenOpen([this, id, callback = std::move(callback)] { cancel(id, callback); });
        return;
    }
    if (state_ != State::Open || !book_.cancel(id, unixMs())) {
        query(id, callback);
        return;
    }
    cancellers_.emplace(id, std::move(callback));
    write();
}

void DurableJobs::noteStarted(const JobId& id) { book_.noteStarted(id); }

void DurableJobs::noteProgress(const Shards::ProgressChanged& change) { book_.noteProgress(change); }

void DurableJobs::noteFinished(const Shards::FinishJob& finished)
{
    book_.noteFinished(finished.job, finished.result, unixMs());
    if (finished.result != Shards::JobResult::Completed)
        engine_.cancelDurable(finished.job.job, monotonicNow());
}

void DurableJobs::write()
{
    if (state_ != State::Open || writing_ || !book_.hasChanges())
        return;
    const auto now = monotonicNow();
    // The writes of all shards together stay within the store's rate.
    const auto spacing = Duration(static_cast<Duration::rep>(1e6 * static_cast<double>(shardCount_)
        / (journalShareOfWrites * std::max(context_.settings.storeWritesPerSecond, 1.0))));
    const auto pause = book_.hasUrgentChanges() ? spacing : std::max(spacing, progressDelay);
    const auto due = std::max(lastWriteAt_ + pause, retryAt_);
    if (now >= due) {
        writeNow();
        return;
    }
    if (due >= plannedAt_)
        return;
    plannedAt_ = due;
    writeTimer_.expires_after(due - now);
    writeTimer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        plannedAt_ = TimePoint::max();
        if (state_ == State::Open && !writing_ && book_.hasChanges())
            writeNow();
    });
}

void DurableJobs::writeNow()
{
    auto batch = book_.takeBatch([this](const Shards::OccurrenceKey& key) { return engine_.progressOf(key); });
    writing_ = true;
    const auto sentAt = monotonicNow();
    lastWriteAt_ = sentAt;
    const auto encoded = encodeBatch(batch);
    journal_.write(encoded, [this, batch = std::move(batch), sentAt](ShardJournal::Outcome outcome) {
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
            handleRefused(batch);
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
    book_.handleWritten(batch);
    for (const auto& progress : batch.progress)
        engine_.handleRecorded(progress.job, progress.mark);
    for (const auto& id : batch.ended) {
        if (book_.stateOf(id) == Shards::JobState::Cancelled)
            engine_.cancelDurable(id, now);
        answer(cancellers_, id,
            { .kind = OwnerAnswer::Kind::Known, .state = book_.stateOf(id).value_or(Shards::JobState::Cancelled) });
    }
    releaseDue();
    for (const auto& id : batch.accepted)
        answer(submitters_, id, { .kind = OwnerAnswer::Kind::Accepted });
    handlers_.progressed();
    write();
}

void DurableJobs::handleRefused(const Shards::JournalBatch& batch)
{
    const auto now = monotonicNow();
    refusingUntil_ = now + refusalTime;
    retryAt_ = now + writeRetryDelay;
    book_.handleRefused(batch);
    for (const auto& id : batch.accepted) {
        context_.log.event("job.refused", { { "id", id.value }, { "shard", shard_.value }, { "reason", "store" } });
        answer(submitters_, id, { .kind = OwnerAnswer::Kind::Refused, .retryAfter = retryAfterOutage });
        answer(cancellers_, id, { .kind = OwnerAnswer::Kind::UnknownJob });
    }
}

void DurableJobs::releaseDue()
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
    if (state_ != State::Open)
        return;
    releaseDue();
    book_.expire(unixMs());
    write();
}

void DurableJobs::close()
{
    state_ = State::Closed;
    const auto waiting = std::exchange(onceOpen_, {});
    for (const auto& action : waiting)
        action();
    for (auto* open : { &submitters_, &cancellers_ }) {
        const auto callbacks = std::exchange(*open, {});
        for (const auto& [id, callback] : callbacks)
            callback({ .kind = OwnerAnswer::Kind::InDoubt });
    }
}

} // namespace Balsammill
