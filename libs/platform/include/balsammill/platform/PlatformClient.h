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

struct TableValue {
    std::string key;
    std::string value;
    ETag etag;
};

struct KeyAbsent { };
/// The platform gave no usable answer.
struct PlatformUnavailable {
    std::string cause;
};
using ReadResult = std::variant<TableValue, KeyAbsent, PlatformUnavailable>;
using ListResult = std::variant<std::vector<TableValue>, PlatformUnavailable>;

struct Written {
    ETag etag;
};
/// The value was changed by another writer; nothing was written.
struct WriteConflict { };
/// Nothing was written and nothing will be.
struct WriteNotSent {
    std::string cause;
};
/// The answer was lost; the write may have taken effect and has to be read back.
struct WriteInDoubt {
    std::string cause;
};
using WriteResult = std::variant<Written, WriteConflict, WriteNotSent, WriteInDoubt>;

/// An upstream as it registers itself with the platform.
struct ListedUpstream {
    VmName name;
    FailureDomain failureDomain;
    /// Address of its HTTP server.
    NetworkAddress address;
    /// Label of the service it serves.
    std::string label;
    Slots slots { 0 };
    bool leaving { false };
};
using UpstreamListResult = std::variant<std::vector<ListedUpstream>, PlatformUnavailable>;

/// The platform's table and its list of upstreams. Thread-safe; every call blocks for a bounded time.
class PlatformClient {
public:
    virtual ~PlatformClient() = default;

    virtual ReadResult read(const std::string& key) const = 0;
    /// All values whose keys begin with the prefix.
    virtual ListResult list(const std::string& prefix) const = 0;
    /// Writes if the key's tag is still the expected one; no tag means that the key must not exist.
    virtual WriteResult conditionalWrite(
        const std::string& key, const std::string& value, const std::optional<ETag>& expected) const = 0;
    virtual UpstreamListResult listUpstreams() const = 0;
};

} // namespace Balsammill
