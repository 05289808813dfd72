#pragma once

#include "ShardJournal.h"

#include "balsammill/shards/DurableJobTable.h"

#include <map>
#include <optional>

namespace Balsammill {

/// The journal's rows of one job, decoded.
struct JournaledJob {
    std::shared_ptr<const Shards::JobSpec> spec;
    std::optional<Shards::JobStateRecord> state;
};

/// Encodes a batch as rows to write and to remove.
ShardJournal::Write encodeBatch(const Shards::JournalBatch&);
/// Groups the rows of a journal by job. Malformed rows are counted and skipped.
std::map<JobId, JournaledJob> decodeJournal(const std::vector<ShardJournal::Row>&, std::size_t& malformed);

} // namespace Balsammill
