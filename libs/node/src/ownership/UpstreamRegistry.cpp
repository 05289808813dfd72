#include "UpstreamRegistry.h"

#include "platform/Documents.h"
#include "platform/Json.h"

namespace Balsammill {

namespace {

// Registrations that lapsed in an outage are back within two seconds of its end, if the upstream lives.
constexpr Duration registrationGrace = std::chrono::milliseconds(2500);
// An outage this recent may be the reason why a registration vanished: three heartbeats and the grace.
constexpr Duration recentOutage = std::chrono::seconds(5);
// Changes of registrations are read in bundles; a leaving upstream gets no more work after this time and a read.
constexpr Duration registrationPause = std::chrono::milliseconds(250);

} // namespace

UpstreamRegistry::UpstreamRegistry(NodeContext& context, Platform::Store& store, Handlers handlers)
    : context_(context)
    , store_(store)
    , handlers_(std::move(handlers))
{
}

void UpstreamRegistry::follow(bool wanted)
{
    if (!wanted) {
        rows_.reset();
        upstreams_.clear();
        missing_.clear();
        return;
    }
    if (rows_)
        return;
    rows_ = std::make_unique<TableFollower>(context_.loop, store_, Platform::upstreamTable, registrationPause,
        TableFollower::Handlers { .changed = [this](const Platform::Row& row) { handleRow(row); },
            .removed = [this](const std::string& key) { handleRemoved(key); },
            .answering = [](bool, const std::string&) {} });
    rows_->start();
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
        if (row.unreadable)
            throw Platform::FormatError("the value cannot be decoded");
        const auto info = Platform::parseUpstream(row.key, row.value);
        missing_.erase(id);
        upstreams_[id] = info;
        handlers_.changed(info);
    } catch (const Platform::FormatError& error) {
        context_.noteBadRecord("upstream.bad_registration", Platform::upstreamTable,
            { { "upstream", row.key }, { "reason", error.what() } });
        // It is there and names nothing that can be used, so an outage is no reason to wait for it.
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
    const bool outage = rows_ && now - rows_->failedAt() < recentOutage;
    missing_[id] = outage ? now + registrationGrace : now;
}

} // namespace Balsammill
