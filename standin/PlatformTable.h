#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Balsammill::Standin {

struct StoredValue {
    std::string value;
    /// With its quotes, as in the ETag header.
    std::string etag;
};

/// What a write demands of the present value.
struct WriteCondition {
    /// Tag that the value must have.
    std::optional<std::string> ifMatch;
    /// True for If-None-Match: *.
    bool mustBeAbsent { false };
};

struct Stored {
    std::string etag;
    bool created { false };
};
struct PreconditionFailed { };
using StoreResult = std::variant<Stored, PreconditionFailed>;

/// Keys and values with a new tag for every write. Not thread-safe.
class PlatformTable {
public:
    std::optional<StoredValue> read(const std::string& key) const;
    std::map<std::string, StoredValue> list(const std::string& prefix) const;
    StoreResult write(const std::string& key, std::string value, const WriteCondition&);

private:
    std::map<std::string, StoredValue> values_;
    std::uint64_t lastTag_ { 0 };
};

/// The VM list as callers see it: each document becomes visible after the lag. Not thread-safe.
class VmListHistory {
public:
    /// The first document is visible at once, because nothing was known before.
    void set(std::string document, TimePoint now);
    const std::string& visible(TimePoint now, Duration lag);

private:
    struct Entry {
        TimePoint setAt;
        std::string document;
    };
    std::vector<Entry> entries_ { { TimePoint::min(), R"({"vms":[]})" } };
    bool empty_ { true };
};

/// Spaces writes evenly at a limited rate. Not thread-safe.
class WritePacer {
public:
    /// Time at which a write that arrives now may take effect; empty if it would have to wait longer than maxWait. A
    /// rate of 0 is unlimited.
    std::optional<TimePoint> reserve(TimePoint now, double writesPerSecond);

    static constexpr Duration maxWait = std::chrono::seconds(5);

private:
    TimePoint nextFreeAt_ {};
};

} // namespace Balsammill::Standin
