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
/// No byte of the write left this process; nothing was written.
struct WriteNotSent {
    std::string cause;
};
/// The answer was lost; the write may have taken effect and has to be read back.
struct WriteInDoubt {
    std::string cause;
};
using WriteResult = std::variant<Written, WriteConflict, WriteNotSent, WriteInDoubt>;

enum class VmRole {
    Entry,
    Upstream,
};

/// One row of the platform's list of live and leaving VMs.
struct ListedVm {
    VmName name;
    VmRole role { VmRole::Upstream };
    FailureDomain failureDomain;
    std::string rack;
    /// Entry: address of the peer socket. Upstream: address of its HTTP server.
    NetworkAddress address;
    /// Upstream only: label of the service it serves, and its slots.
    std::string label;
    Slots slots { 0 };
    bool leaving { false };
};
using VmListResult = std::variant<std::vector<ListedVm>, PlatformUnavailable>;

struct PlatformOptions {
    NetworkAddress address;
    Duration timeout { std::chrono::seconds(2) };
};

/// Client of the platform's table and VM list over HTTP. Thread-safe; every call blocks at most for the timeout.
class PlatformClient {
public:
    explicit PlatformClient(PlatformOptions);

    ReadResult read(const std::string& key) const;
    ListResult list(const std::string& prefix) const;
    /// Writes if the key's tag is still the expected one; no tag means that the key must not exist.
    WriteResult conditionalWrite(
        const std::string& key, const std::string& value, const std::optional<ETag>& expected) const;
    VmListResult listVms() const;

private:
    PlatformOptions options_;
};

} // namespace Balsammill
