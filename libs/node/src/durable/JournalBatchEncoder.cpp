#include "JournalBatchEncoder.h"

#include "JournalCodec.h"

#include <algorithm>
#include <iterator>

namespace Balsammill {

JournalBatchEncoder::JournalBatchEncoder(const ShardJournal& journal)
    : journal_(journal)
{
}

bool JournalBatchEncoder::add(const Shards::JournalChange& change)
{
    auto rows = encodeChange(change, journal_.stateRowBytes());
    const auto bytes = journal_.encodedBytes(rows);
    const bool empty = write_.puts.empty() && write_.removals.empty();
    if (!empty && bytes_ + bytes > journal_.maxWriteBytes())
        return false;
    bytes_ += bytes;
    std::move(rows.puts.begin(), rows.puts.end(), std::back_inserter(write_.puts));
    std::move(rows.removals.begin(), rows.removals.end(), std::back_inserter(write_.removals));
    return true;
}

LargestRow largestRow(const ShardJournal::Write& write)
{
    LargestRow largest;
    for (const auto& put : write.puts) {
        if (largest.key.empty() || put.value.size() > largest.bytes)
            largest = { .key = put.key, .bytes = put.value.size() };
    }
    if (largest.key.empty() && !write.removals.empty())
        largest.key = write.removals.front();
    return largest;
}

} // namespace Balsammill
