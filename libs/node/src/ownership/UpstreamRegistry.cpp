#include "UpstreamRegistry.h"

#include "platform/Documents.h"
#include "platform/Json.h"

namespace Balsammill {

namespace {

// A running upstream whose registration expired in a store outage registers again within two seconds after it.
constexpr Duration registrationGrace = std::chrono::milliseconds(2500);
// A registration may be missing because of an outage that ended this recently: three heartbeats and the grace period.
constexpr Duration outageWindow = std::chrono::seconds(5);
// Registration changes are read in batches. A draining upstream receives no tasks after this time plus one read.
constexpr Duration registrationReadDelay = std::chrono::milliseconds(250);

} // namespace

UpstreamRegistry::UpstreamRegistry(NodeContext& context, Platform::Store& store, Handlers handlers)
    : context_(context)
    , store_(store)
    , handlers_(std::move(handlers))
{
}

void UpstreamRegistry::follow(bool enabled)
{
    if (!enabled) {
        follower_.reset();
        upstreams_.clear();
        missing_.clear();
        return;
    }
    if (follower_)
        return;
    follower_ = std::make_unique<TableFollower>(context_.loop, store_, Platform::upstreamTable, registrationReadDelay,
        TableFollower::Handlers { .changed = [this](const Platform::Row& row) { handleRow(row); },
            .removed = [this](const std::string& key) { handleRemoved(key); },
            .availabilityChanged = [](bool, const std::string&) {} });
    follower_->start();
}

void UpstreamRegistry::advance(TimePoint now)
{
    for (auto it = missing_.begin(); it != missing_.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        const auto id = it->first;
        it = missing_.erase(it);
        upstreams_.erase(id);
        handlers_.removed(id);
    }
}

void UpstreamRegistry::handleRow(const Platform::Row& row)
{
    const Shards::UpstreamId id(row.key);
    try {
        if (row.malformedValue)
            throw Platform::FormatError("the value cannot be decoded");
        const auto info = Platform::parseUpstream(row.key, row.value);
        missing_.erase(id);
        upstreams_[id] = info;
        handlers_.changed(info);
    } catch (const Platform::FormatError& error) {
        context_.reportBadRecord("upstream.bad_registration", Platform::upstreamTable,
            { { "upstream", row.key }, { "reason", error.what() } });
        // The row exists but is malformed, so the grace period after an outage does not apply.
        if (upstreams_.contains(id))
            missing_[id] = monotonicNow();
    }
}

void UpstreamRegistry::handleRemoved(const std::string& key)
{
    const Shards::UpstreamId id(key);
    if (!upstreams_.contains(id))
        return;
    const auto now = monotonicNow();
    const bool outage = follower_ && now - follower_->lastFailureAt() < outageWindow;
    missing_[id] = outage ? now + registrationGrace : now;
}

} // namespace Balsammill
