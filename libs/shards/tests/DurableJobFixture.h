#pragma once

#include "EngineFixture.h"

#include "balsammill/shards/DurableJobTable.h"

#include <memory>
#include <optional>
#include <string>

namespace Balsammill::Shards::Testing {

inline const JobId durableJobId { "00000000000000a1" };

inline std::shared_ptr<const JobSpec> durableJob(const std::string& name = durableJobId.value)
{
    auto spec = makeSpec({ .id = name });
    spec.durable = true;
    return std::make_shared<const JobSpec>(spec);
}

inline std::optional<JobProgress> noProgress(const OccurrenceKey&) { return std::nullopt; }

/// Writes all pending changes and returns the last batch.
inline JournalBatch writeAll(DurableJobTable& book, const DurableJobTable::ProgressReader& progressOf = noProgress)
{
    JournalBatch last;
    while (book.hasChanges()) {
        last = book.takeBatch(progressOf);
        book.handleWritten(last);
    }
    return last;
}

} // namespace Balsammill::Shards::Testing
