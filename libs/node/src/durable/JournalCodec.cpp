#include "JournalCodec.h"

#include "clients/JobMessageCodec.h"

namespace Balsammill {

namespace {

using balsammill::internal::StoredJobState;

// Keys are "JOB/spec" and "JOB/state".
constexpr std::string_view specSuffix = "/spec";
constexpr std::string_view stateSuffix = "/state";

std::string specKey(const JobId& id) { return id.value + std::string(specSuffix); }
std::string stateKey(const JobId& id) { return id.value + std::string(stateSuffix); }

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
            encodeTasks(step, *out->add_steps());
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
            occurrence.progress.steps.push_back(decodeTasks(step));
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
        if (change.removeSpec)
            write.removals.push_back(specKey(change.job));
        if (change.removeState)
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
        if (row.malformedValue)
            ++malformed;
        else if (!withSpec.empty() && job.ParseFromString(row.value))
            jobs[withSpec].spec = std::make_shared<const Shards::JobSpec>(decodeJob(job));
        else if (!withState.empty() && state.ParseFromString(row.value))
            jobs[withState].state = decodeState(state);
        else
            ++malformed;
    }
    return jobs;
}

} // namespace Balsammill
