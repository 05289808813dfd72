#pragma once

#include "NodeContext.h"
#include "TableFollower.h"

#include "balsammill/shards/UpstreamInfo.h"

#include <functional>
#include <map>
#include <memory>

namespace Balsammill {

/// The upstreams that are registered in the store. A registration that disappears during or soon after a store outage
/// is kept for a grace period, because upstreams register again once the store is available.
class UpstreamRegistry {
public:
    using Upstreams = std::map<Shards::UpstreamId, Shards::UpstreamInfo>;

    struct Handlers {
        /// Called when an upstream is new or its registration has changed.
        std::function<void(const Shards::UpstreamInfo&)> changed;
        std::function<void(const Shards::UpstreamId&)> removed;
    };

    UpstreamRegistry(NodeContext&, Platform::Store&, Handlers);

    /// Starts following the registrations, or stops and clears them.
    void follow(bool enabled);
    /// Removes upstreams whose registration is missing and whose grace period has expired.
    void advance(TimePoint now);
    /// True once all registrations have been loaded.
    bool loaded() const { return follower_ && follower_->loaded(); }
    const Upstreams& upstreams() const { return upstreams_; }

private:
    void handleRow(const Platform::Row&);
    void handleRemoved(const std::string& key);

    NodeContext& context_;
    Platform::Store& store_;
    Handlers handlers_;
    std::unique_ptr<TableFollower> follower_;
    Upstreams upstreams_;
    // Upstreams whose registration is missing or malformed, with the time at which they are removed.
    std::map<Shards::UpstreamId, TimePoint> missing_;
};

} // namespace Balsammill
