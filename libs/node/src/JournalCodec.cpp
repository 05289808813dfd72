#include "JournalCodec.h"

#include "JobMessageCodec.h"

namespace Balsammill {

namespace {

using balsammill::internal::StoredJobState;

// Keys are "JOB/spec" and "JOB/state".
constexpr std::string_view specSuffix = "/spec";
constexpr std::string_view stateSuffix = "/state";
constexpr unsigned bitsPerByte = 8;

std::string specKey(const JobId& id) { return id.value + std::string(specSuffix); }
std::string stateKey(const JobId& id) { return id.value + std::string(stateSuffix); }

void encodeStep(const std::vector<Shards::TaskProgress>& tasks, balsammill::internal::StoredStep& step)
{
    step.set_task_count(static_cast<std::uint32_t>(tasks.size()));
    std::string done((tasks.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const auto& task = tasks[i];
        if (task.done) {
            done[i / bitsPerByte]
                = static_cast<char>(static_cast<unsigned char>(done[i / bitsPerByte]) | (1U << (i % bitsPerByte)));
        } else if (task.failures > 0 || task.countedRun.value > 0) {
            auto* row = step.add_tasks();
            row->set_index(static_cast<std::uint32_t>(i));
            row->set_failures(task.failures);
            row->set_counted_run(task.countedRun.value);
        }
    }
    step.set_done(done);
}

std::vector<Shards::TaskProgress> decodeStep(const balsammill::internal::StoredStep& step)
{
    const auto& done = step.done();
    // A count beyond its own bits would only come from a damaged row.
    const auto count = std::min<std::size_t>(step.task_count(), done.size() * bitsPerByte);
    std::vector<Shards::TaskProgress> tasks(count);
    for (std::size_t i = 0; i < count; ++i)
        tasks[i].done = ((static_cast<unsigned char>(done[i / bitsPerByte]) >> (i % bitsPerByte)) & 1U) != 0;
    for (const auto& row : step.tasks()) {
        if (row.index() >= count)
            continue;
        tasks[row.index()].failures = row.failures();
        tasks[row.index()].countedRun = Shards::RunNumber(row.counted_run());
    }
    return tasks;
}

StoredJobState encodeState(const Shards::JobStateRecord& record)
{
    StoredJobState state;
    state.set_state(encodeJobState(record.state));
    state.set_ended_unix_ms(record.endedUnixMs);
    for (const auto& occurrence : record.occurrences) {
        auto* out = state.add_occurrences();
        out->set_occurrence(occurrence.occurrence);
        out->set_completed(occurrence.completed);
        out->set_highest_run(occurrence.progress.highestRun.value);
        for (const auto& step : occurrence.progress.steps)
            encodeStep(step, *out->add_steps());
    }
    return state;
}

Shards::JobStateRecord decodeState(const StoredJobState& state)
{
    Shards::JobStateRecord record { .state = decodeJobState(state.state()), .endedUnixMs = state.ended_unix_ms() };
    for (const auto& in : state.occurrences()) {
        Shards::OccurrenceRecord occurrence { .occurrence = in.occurrence(), .completed = in.completed() };
        occurrence.progress.highestRun = Shards::RunNumber(in.highest_run());
        for (const auto& step : in.steps())
            occurrence.progress.steps.push_back(decodeStep(step));
        record.occurrences.push_back(std::move(occurrence));
    }
    return record;
}

std::string withoutSuffix(const std::string& key, std::string_view suffix)
{
    return key.size() > suffix.size() && key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size())
                                                               : std::string();
}

} // namespace

ShardJournal::Write encodeBatch(const Shards::JournalBatch& batch)
{
    ShardJournal::Write write;
    for (const auto& change : batch.changes) {
        if (change.newSpec) {
            balsammill::internal::ShardJob job;
            encodeJob(*change.newSpec, job);
            write.puts.push_back({ .key = specKey(change.job), .value = job.SerializeAsString() });
        }
        if (change.newState)
            write.puts.push_back(
                { .key = stateKey(change.job), .value = encodeState(*change.newState).SerializeAsString() });
        if (change.dropSpec)
            write.removals.push_back(specKey(change.job));
        if (change.dropState)
            write.removals.push_back(stateKey(change.job));
    }
    return write;
}

std::map<JobId, JournaledJob> decodeJournal(const std::vector<ShardJournal::Row>& rows, std::size_t& malformed)
{
    std::map<JobId, JournaledJob> jobs;
    for (const auto& row : rows) {
        balsammill::internal::ShardJob job;
        StoredJobState state;
        const JobId withSpec { withoutSuffix(row.key, specSuffix) };
        const JobId withState { withoutSuffix(row.key, stateSuffix) };
        if (!withSpec.empty() && job.ParseFromString(row.value))
            jobs[withSpec].spec = std::make_shared<const Shards::JobSpec>(decodeJob(job));
        else if (!withState.empty() && state.ParseFromString(row.value))
            jobs[withState].state = decodeState(state);
        else
            ++malformed;
    }
    return jobs;
}

} // namespace Balsammill
