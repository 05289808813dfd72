#include "JournalCodec.h"

#include "clients/JobMessageCodec.h"

#include <google/protobuf/io/coded_stream.h>

#include <algorithm>
#include <iterator>

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
    if (record.completions) {
        state.mutable_completions()->set_all_below(record.completions->allBelow());
        state.mutable_completions()->set_later(record.completions->bitmap());
    }
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

void clearEarlierRuns(StoredJobState& state)
{
    for (auto& occurrence : *state.mutable_occurrences()) {
        for (auto& step : *occurrence.mutable_steps()) {
            for (auto& task : *step.mutable_tasks())
                task.clear_earlier_run_distances();
        }
    }
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
    if (state.has_completions())
        record.completions = Shards::CompletedOccurrences(state.completions().all_below(), state.completions().later());
    return record;
}

std::string withoutSuffix(const std::string& key, std::string_view suffix)
{
    return key.size() > suffix.size() && key.ends_with(suffix) ? key.substr(0, key.size() - suffix.size())
                                                               : std::string();
}

// First occurrence of a job whose schedule former versions must not follow: the year 9999.
constexpr std::int64_t neverDueUnixMs = 253'370'764'800'000;

std::string encodeSpec(const Shards::JobSpec& spec, bool withCompactState)
{
    balsammill::internal::ShardJob job;
    encodeJob(spec, job);
    if (withCompactState) {
        *job.mutable_actual_schedule() = job.schedule();
        job.mutable_schedule()->set_first_run_unix_ms(neverDueUnixMs);
    }
    return job.SerializeAsString();
}

Shards::JobSpec decodeSpec(balsammill::internal::ShardJob& job)
{
    if (job.has_actual_schedule())
        *job.mutable_schedule() = job.actual_schedule();
    return decodeJob(job);
}

// Not below the size of the encoded specification, and much cheaper than to encode it.
std::size_t specBytesBound(const Shards::JobSpec& spec)
{
    constexpr std::size_t fixedFieldsBytes = 512;
    constexpr std::size_t fixedStepBytes = 128;
    constexpr std::size_t predecessorBytes = 5;
    auto bytes = fixedFieldsBytes + spec.id.value.size() + spec.queue.value.size() + spec.service.value.size()
        + spec.payload.size();
    for (const auto& step : spec.steps)
        bytes += fixedStepBytes + predecessorBytes * step.after.size() + step.requiredLabel.size()
            + step.preferredRack.size() + step.image.size();
    return bytes;
}

// Upper bounds of the encoded sizes of the messages in StoredJobState. A field that is present has a tag of one byte.
constexpr std::size_t tagBytes = 1;
constexpr std::size_t bitsPerByte = 8;
constexpr std::size_t flagFieldBytes = tagBytes + 1;
constexpr std::size_t maxVarintBytes = 10;
constexpr std::uint32_t maxRunNumber = (1U << 28U) - 1;

std::size_t varintBytes(std::uint32_t value) { return google::protobuf::io::CodedOutputStream::VarintSize32(value); }

std::size_t numberFieldBytes(std::uint32_t value) { return tagBytes + varintBytes(value); }

std::size_t nestedFieldBytes(std::size_t bytes)
{
    return tagBytes + varintBytes(static_cast<std::uint32_t>(bytes)) + bytes;
}

// A step of which every task has failed at least once.
std::size_t maxStepBytes(const Shards::StepSpec& step, std::uint32_t maxAttempts)
{
    const auto taskBytes = nestedFieldBytes(
        numberFieldBytes(step.count) + numberFieldBytes(maxAttempts) + numberFieldBytes(maxRunNumber));
    return nestedFieldBytes(numberFieldBytes(step.count)
        + nestedFieldBytes((step.count + bitsPerByte - 1) / bitsPerByte) + step.count * taskBytes);
}

std::size_t maxOpenOccurrenceBytes(const Shards::JobSpec& spec, std::uint32_t occurrences)
{
    std::size_t bytes = numberFieldBytes(occurrences) + numberFieldBytes(maxRunNumber);
    for (const auto& step : spec.steps)
        bytes += maxStepBytes(step, spec.maxAttempts);
    return nestedFieldBytes(bytes);
}

std::size_t maxCompletionsBytes(std::uint32_t occurrences)
{
    return nestedFieldBytes(
        numberFieldBytes(occurrences) + nestedFieldBytes((occurrences + bitsPerByte - 1) / bitsPerByte));
}

std::size_t listedCompletionBytes(std::uint32_t occurrences)
{
    return nestedFieldBytes(numberFieldBytes(occurrences) + flagFieldBytes);
}

} // namespace

std::optional<Shards::StoredStateLimits> storedStateLimits(const Shards::JobSpec& spec, std::size_t maxValueBytes)
{
    if (specBytesBound(spec) > maxValueBytes && encodeSpec(spec, spec.schedule.has_value()).size() > maxValueBytes)
        return std::nullopt;
    const auto occurrences = spec.schedule ? spec.schedule->count : 1;
    // The state itself and the time of its end.
    const std::size_t headBytes = flagFieldBytes + tagBytes + maxVarintBytes;
    const auto compactBytes = headBytes + maxCompletionsBytes(occurrences);
    const auto openBytes = maxOpenOccurrenceBytes(spec, occurrences);
    if (compactBytes + openBytes > maxValueBytes)
        return std::nullopt;
    // Half of a row for the open occurrences, unless a single one needs more.
    const auto maxOpen
        = std::max<std::size_t>(std::min(maxValueBytes - compactBytes, maxValueBytes / 2) / openBytes, 1);
    const auto listBytes = maxValueBytes - std::min(maxValueBytes, headBytes + maxOpen * openBytes);
    return Shards::StoredStateLimits { .maxOpenOccurrences = static_cast<std::uint32_t>(maxOpen),
        .maxListedCompletions = static_cast<std::uint32_t>(listBytes / listedCompletionBytes(occurrences)) };
}

Shards::RunNumber highestRunOf(const Shards::JobStateRecord& record)
{
    Shards::RunNumber highest;
    for (const auto& occurrence : record.occurrences)
        highest = std::max(highest, occurrence.progress.highestRun);
    return highest;
}

ShardJournal::Write encodeChange(const Shards::JournalChange& change, std::size_t maxValueBytes)
{
    ShardJournal::Write write;
    if (change.newSpec)
        write.puts.push_back(
            { .key = specKey(change.job), .value = encodeSpec(*change.newSpec, change.hasCompactState()) });
    if (change.newState) {
        auto state = encodeState(*change.newState);
        if (state.ByteSizeLong() > maxValueBytes)
            clearEarlierRuns(state);
        write.puts.push_back({ .key = stateKey(change.job), .value = state.SerializeAsString() });
    }
    if (change.removeSpec)
        write.removals.push_back(specKey(change.job));
    if (change.removeState)
        write.removals.push_back(stateKey(change.job));
    return write;
}

ShardJournal::Write encodeBatch(const Shards::JournalBatch& batch)
{
    ShardJournal::Write write;
    for (const auto& change : batch.changes) {
        auto rows = encodeChange(change);
        std::move(rows.puts.begin(), rows.puts.end(), std::back_inserter(write.puts));
        std::move(rows.removals.begin(), rows.removals.end(), std::back_inserter(write.removals));
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
            jobs[withSpec].spec = std::make_shared<const Shards::JobSpec>(decodeSpec(job));
        else if (!withState.empty() && state.ParseFromString(row.value))
            jobs[withState].state = decodeState(state);
        else
            ++malformed;
    }
    return jobs;
}

} // namespace Balsammill
