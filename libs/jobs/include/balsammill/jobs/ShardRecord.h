#pragma once

#include "balsammill/base/ProcessId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Balsammill {

/// Owners of one shard, as the platform's table stores them.
struct ShardRecord {
    Epoch epoch;
    ProcessId primary;
    std::optional<ProcessId> backup {};
    /// Wall clock in milliseconds since the Unix epoch up to which unknown ids may have run; 0 if the history is known.
    std::int64_t historyUnknownUntilMs { 0 };

    bool operator==(const ShardRecord&) const = default;
};

/// Key in the table: "shards/<domain>/<n>".
std::string shardTableKey(const FailureDomain&, ShardIndex);
/// Common prefix of the keys of a domain's shards.
std::string shardTablePrefix(const FailureDomain&);
/// Empty if the key is not one of the domain's shards.
std::optional<ShardIndex> shardOfTableKey(const FailureDomain&, std::string_view key);

/// JSON text of the record.
std::string formatShardRecord(const ShardRecord&);
/// Empty if the text is no valid record.
std::optional<ShardRecord> parseShardRecord(const std::string&);

/// A value that the table returned for a shard.
struct RecordFound {
    ShardRecord record;
    /// Version tag for the next conditional write.
    std::string tag;
};

} // namespace Balsammill
