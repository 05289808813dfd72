#include "SimulatedDurableJobs.h"

#include "EngineFixture.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Shards::Testing {

namespace {

// As in DurableJobs.cpp.
constexpr int writeRetryDelay = 200;
constexpr int progressBatchDelay = 50;
constexpr int openRetryDelay = 100;

void apply(const JournalChange& change, SimulatedJournal& journal)
{
    auto& row = journal.jobs[change.job];
    if (change.newSpec)
        row.spec = change.newSpec;
    if (change.newState)
        row.state = change.newState;
    if (change.removeSpec)
        row.spec = nullptr;
    if (change.removeState)
        journal.jobs.erase(change.job);
}

} // namespace

SimulatedDurableJobs::SimulatedDurableJobs(
    SimulatedProcess& process, ShardEngine& engine, int shard, std::uint64_t epoch, Handlers handlers)
    : process_(process)
    , engine_(engine)
    , shard_(shard)
    , epoch_(epoch)
    , handlers_(std::move(handlers))
{
}

SimulatedDurableJobs::~SimulatedDurableJobs() { *alive_ = false; }

template <typename Result>
void SimulatedDurableJobs::callStore(
    std::function<Result(SimulatedJournal&)> action, std::function<void(const Result&)> handle)
{
    auto& world = process_.world;
    world.callStore([&world, shard = shard_, alive = alive_, inbox = std::weak_ptr(process_.inbox),
                        action = std::move(action), handle = std::move(handle)] {
        const auto result = action(world.journals[shard]);
        if (const auto waiting = inbox.lock())
            waiting->waiting.emplace_back(world.now + world.storeDelay(), [alive, handle, result] {
                if (*alive)
                    handle(result);
            });
    });
}

void SimulatedDurableJobs::open()
{
    callStore<std::optional<SimulatedJournal>>(
        [&world = process_.world](
            SimulatedJournal& journal) { return world.isStoreAway() ? std::nullopt : std::optional(journal); },
        [this](const std::optional<SimulatedJournal>& read) {
            if (state_ == State::Closed)
                return;
            if (!read)
                process_.runAfter(openRetryDelay, [this, alive = alive_] {
                    if (*alive && state_ == State::Opening)
                        open();
                });
            else if (read->epoch > epoch_)
                handlers_.fenced();
            else
                writeFence(*read);
        });
}

void SimulatedDurableJobs::writeFence(const SimulatedJournal& read)
{
    const RunNumber floor { std::max(read.lastReservedRun.value, epoch_ * runNumberBlock) };
    const RunNumber last { floor.value + runNumberBlock };
    callStore<bool>(
        [&world = process_.world, version = read.version, epoch = epoch_, last](SimulatedJournal& journal) {
            if (world.isStoreAway() || journal.version != version)
                return false;
            ++journal.version;
            journal.epoch = epoch;
            journal.lastReservedRun = last;
            return true;
        },
        [this, read, floor, last](bool written) {
            if (state_ == State::Closed)
                return;
            if (!written) {
                open();
                return;
            }
            version_ = read.version + 1;
            lastReservedRun_ = last;
            if (process_.world.reservesRunNumbers)
                engine_.setRunNumbers(floor, last);
            handleOpened(read);
        });
}

void SimulatedDurableJobs::handleOpened(const SimulatedJournal& read)
{
    for (const auto& [id, row] : read.jobs)
        table_.restore(id, row.spec, row.state);
    state_ = State::Open;
    submitDueJobs();
    handlers_.opened();
}

void SimulatedDurableJobs::submit(const std::shared_ptr<const JobSpec>& spec)
{
    if (state_ == State::Open && !table_.contains(spec->id) && table_.submit(spec))
        write();
}

void SimulatedDurableJobs::recordFinished(const FinishJob& finished)
{
    table_.recordFinished(finished.job, finished.result, process_.now());
    if (finished.result != JobResult::Completed)
        engine_.failDurable(finished.job.job, at(process_.now()));
}

RunNumber SimulatedDurableJobs::runsToReserve() const
{
    const auto needed = engine_.highestNeededRun();
    const bool enough = needed.value + runNumberBlock / 2 <= lastReservedRun_.value;
    return enough ? lastReservedRun_ : RunNumber(needed.value + runNumberBlock);
}

void SimulatedDurableJobs::write()
{
    if (state_ == State::Open && !writing_ && needsWrite()
        && (table_.hasUrgentChanges() || process_.now() >= nextWriteAt_))
        writeNow();
}

void SimulatedDurableJobs::writeNow()
{
    const auto batch = table_.takeBatch([this](const OccurrenceKey& key) { return engine_.progressOf(key); });
    const auto reserved = runsToReserve();
    writing_ = true;
    nextWriteAt_ = process_.now() + progressBatchDelay;
    callStore<Outcome>(
        [&world = process_.world, batch, reserved, version = version_](SimulatedJournal& journal) {
            if (world.isStoreAway())
                return Outcome::Refused;
            if (journal.version != version)
                return Outcome::Fenced;
            ++journal.version;
            journal.lastReservedRun = reserved;
            for (const auto& change : batch.changes)
                apply(change, journal);
            return Outcome::Written;
        },
        [this, batch, reserved](Outcome outcome) {
            writing_ = false;
            if (state_ != State::Open)
                return;
            if (outcome == Outcome::Fenced) {
                handlers_.fenced();
            } else if (outcome == Outcome::Refused) {
                nextWriteAt_ = process_.now() + writeRetryDelay;
                table_.handleWriteFailed(batch);
            } else {
                handleWritten(batch, reserved);
            }
        });
}

void SimulatedDurableJobs::handleWritten(const JournalBatch& batch, RunNumber reserved)
{
    ++version_;
    lastReservedRun_ = reserved;
    if (process_.world.reservesRunNumbers)
        engine_.extendRunNumbers(reserved);
    table_.handleWritten(batch);
    engine_.handleRecorded(batch.progress);
    submitDueJobs();
    handlers_.schedulingNeeded();
    write();
}

void SimulatedDurableJobs::submitStarted(const std::vector<TransferredJob>& handedOver)
{
    for (const auto& job : handedOver)
        table_.expectStarted(job.key);
    submitDueJobs();
}

void SimulatedDurableJobs::submitDueJobs()
{
    for (const auto& due : table_.takeDue(process_.now())) {
        const auto since = at(due.dueUnixMs == 0 ? process_.now() : static_cast<int>(due.dueUnixMs));
        if (due.inherited)
            engine_.inheritDurable(due.key, due.spec, since, *due.inherited);
        else
            engine_.submitDurable(due.key, due.spec, since);
    }
}

void SimulatedDurableJobs::advance()
{
    if (state_ != State::Open)
        return;
    submitDueJobs();
    write();
}

} // namespace Balsammill::Shards::Testing
