#pragma once

#include "ShardJournal.h"

#include "balsammill/shards/DurableJobTable.h"

#include <cstddef>
#include <string>

namespace Balsammill {

/// Collects the encoded rows of a batch while they fit into one write of the journal.
class JournalBatchEncoder {
public:
    explicit JournalBatchEncoder(const ShardJournal&);

    /// Returns false and leaves the change out if it does not fit beside those added before.
    bool add(const Shards::JournalChange&);
    /// The rows of the changes added.
    ShardJournal::Write take() { return std::move(write_); }

private:
    const ShardJournal& journal_;
    ShardJournal::Write write_;
    std::size_t bytes_ { 0 };
};

/// The row of a write with the largest value.
struct LargestRow {
    std::string key;
    std::size_t bytes { 0 };
};
LargestRow largestRow(const ShardJournal::Write&);

} // namespace Balsammill
