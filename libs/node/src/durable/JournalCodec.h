#pragma once

#include "ShardJournal.h"

#include "balsammill/shards/JobBook.h"

#include <map>
#include <optional>

namespace Balsammill {

/// What the journal holds of one job.
struct JournaledJob {
    std::shared_ptr<const Shards::JobSpec> spec;
    std::optional<Shards::JobStateRecord> state;
};

/// The rows that a batch changes.
ShardJournal::Write encodeBatch(const Shards::JournalBatch&);
/// Sorts the rows of a journal by job. Rows that cannot be decoded are counted and left out.
std::map<JobId, JournaledJob> decodeJournal(const std::vector<ShardJournal::Row>&, std::size_t& malformed);

} // namespace Balsammill
