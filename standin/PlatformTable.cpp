#include "PlatformTable.h"

#include <algorithm>
#include <utility>

namespace Balsammill::Standin {

std::optional<StoredValue> PlatformTable::read(const std::string& key) const
{
    const auto found = values_.find(key);
    if (found == values_.end())
        return std::nullopt;
    return found->second;
}

std::map<std::string, StoredValue> PlatformTable::list(const std::string& prefix) const
{
    std::map<std::string, StoredValue> rows;
    for (auto row = values_.lower_bound(prefix); row != values_.end() && row->first.starts_with(prefix); ++row)
        rows.insert(*row);
    return rows;
}

StoreResult PlatformTable::write(const std::string& key, std::string value, const WriteCondition& condition)
{
    const auto present = values_.find(key);
    const bool exists = present != values_.end();
    if (condition.mustBeAbsent && exists)
        return PreconditionFailed {};
    if (condition.ifMatch) {
        const bool matches = exists && (*condition.ifMatch == "*" || *condition.ifMatch == present->second.etag);
        if (!matches)
            return PreconditionFailed {};
    }
    auto etag = "\"" + std::to_string(++lastTag_) + "\"";
    values_[key] = StoredValue { .value = std::move(value), .etag = etag };
    return Stored { .etag = std::move(etag), .created = !exists };
}

void VmListHistory::set(std::string document, TimePoint now)
{
    if (std::exchange(empty_, false))
        entries_.clear();
    entries_.push_back({ entries_.empty() ? TimePoint::min() : now, std::move(document) });
}

const std::string& VmListHistory::visible(TimePoint now, Duration lag)
{
    auto newest = entries_.begin();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (entry->setAt == TimePoint::min() || entry->setAt + lag <= now)
            newest = entry;
    }
    return newest->document;
}

std::optional<TimePoint> WritePacer::reserve(TimePoint now, double writesPerSecond)
{
    if (writesPerSecond <= 0)
        return now;
    const auto slot = std::max(now, nextFreeAt_);
    if (slot - now > maxWait)
        return std::nullopt;
    nextFreeAt_ = slot + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / writesPerSecond));
    return slot;
}

} // namespace Balsammill::Standin
