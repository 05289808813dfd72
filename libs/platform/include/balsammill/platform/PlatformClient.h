#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Balsammill {

/// Version tag that the table assigns to a value with each write.
using ETag = StrongId<struct ETagTag>;

/// A value of the table, as read.
struct TableValue {
    std::string key;
    std::string value;
    ETag etag;
};

/// The table has no such key.
struct KeyAbsent { };
/// The platform did not answer, or its answer was an error or malformed.
struct PlatformUnavailable {
    std::string cause;
};
using ReadResult = std::variant<TableValue, KeyAbsent, PlatformUnavailable>;
using ListResult = std::variant<std::vector<TableValue>, PlatformUnavailable>;

/// The value was written.
struct Written {
    /// Tag of the new value.
    ETag etag;
};
/// The expected tag did not match, because another writer changed the value; nothing was written.
struct WriteConflict { };
/// Nothing was written, and the write cannot take effect later.
struct WriteNotSent {
    std::string cause;
};
/// No usable answer was received. The write may have taken effect, so the caller has to read the value back.
struct WriteInDoubt {
    std::string cause;
};
using WriteResult = std::variant<Written, WriteConflict, WriteNotSent, WriteInDoubt>;

/// Registration of an upstream with the platform.
struct ListedUpstream {
    VmName name;
    FailureDomain failureDomain;
    /// Address of its HTTP server.
    NetworkAddress address;
    /// Label of the service it serves.
    std::string label;
    Slots slots { 0 };
    /// The upstream is draining and takes no new work.
    bool leaving { false };
};
using UpstreamListResult = std::variant<std::vector<ListedUpstream>, PlatformUnavailable>;

/// Client of the platform's table and its list of upstreams. Thread-safe; calls block until an answer or a timeout.
class PlatformClient {
public:
    virtual ~PlatformClient() = default;

    virtual ReadResult read(const std::string& key) const = 0;
    /// Returns all values whose keys begin with the prefix.
    virtual ListResult list(const std::string& prefix) const = 0;
    /// Writes only if the key's current tag is the expected one; without a tag, only if the key does not exist.
    virtual WriteResult conditionalWrite(
        const std::string& key, const std::string& value, const std::optional<ETag>& expected) const = 0;
    virtual UpstreamListResult listUpstreams() const = 0;
};

} // namespace Balsammill
