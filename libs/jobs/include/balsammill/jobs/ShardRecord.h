#pragma once

#include "balsammill/base/ProcessId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Balsammill {

/// Primary and backup of one shard, as stored in the platform's table.
struct ShardRecord {
    Epoch epoch;
    ProcessId primary;
    std::optional<ProcessId> backup {};
    /// Until this time, in milliseconds since the Unix epoch, a job that is not on record may still have run before
    /// both copies of the shard were lost. 0 if the history is complete.
    std::int64_t historyUnknownUntilMs { 0 };

    bool operator==(const ShardRecord&) const = default;
};

/// Key in the table: "shards/<domain>/<n>".
std::string shardTableKey(const FailureDomain&, ShardIndex);
/// Common prefix of the keys of a domain's shards.
std::string shardTablePrefix(const FailureDomain&);
/// Returns nothing if the key does not belong to a shard of the domain.
std::optional<ShardIndex> shardOfTableKey(const FailureDomain&, std::string_view key);

/// Encodes the record as JSON.
std::string formatShardRecord(const ShardRecord&);
/// Returns nothing if the text is not a valid record.
std::optional<ShardRecord> parseShardRecord(const std::string&);

/// Shard record as read from the table.
struct RecordFound {
    ShardRecord record;
    /// Version tag to pass to the next conditional write.
    std::string tag;
};

} // namespace Balsammill
