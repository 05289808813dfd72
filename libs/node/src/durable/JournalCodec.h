#pragma once

#include "ShardJournal.h"

#include "balsammill/shards/DurableJobTable.h"

#include <cstddef>
#include <limits>
#include <map>
#include <optional>

namespace Balsammill {

/// The journal's rows of one job, decoded.
struct JournaledJob {
    std::shared_ptr<const Shards::JobSpec> spec;
    std::optional<Shards::JobStateRecord> state;
};

/// Limits under which each state of the job fits into rows of this size, whatever the order in which its occurrences
/// end, for run numbers below 2^28. Empty if the job does not fit: its specification, or the state of one occurrence.
std::optional<Shards::StoredStateLimits> storedStateLimits(const Shards::JobSpec&, std::size_t maxValueBytes);
/// Encodes a change as rows to write and to remove. TaskProgress::earlierRuns is left out of a state that would have
/// more than maxValueBytes with it; the limits above do not include it.
ShardJournal::Write encodeChange(
    const Shards::JournalChange&, std::size_t maxValueBytes = std::numeric_limits<std::size_t>::max());
/// Highest run number in the record; 0 if there is none.
Shards::RunNumber highestRunOf(const Shards::JobStateRecord&);
/// Encodes a batch as rows to write and to remove.
ShardJournal::Write encodeBatch(const Shards::JournalBatch&);
/// Groups the rows of a journal by job. Malformed rows are counted and skipped.
std::map<JobId, JournaledJob> decodeJournal(const std::vector<ShardJournal::Row>&, std::size_t& malformed);

} // namespace Balsammill
