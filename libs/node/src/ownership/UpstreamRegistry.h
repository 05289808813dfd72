#pragma once

#include "NodeContext.h"
#include "TableFollower.h"

#include "balsammill/shards/UpstreamInfo.h"

#include <functional>
#include <map>
#include <memory>

namespace Balsammill {

/// The upstreams that are registered in the store. A registration that vanishes during or soon after an outage of the
/// store counts for a while longer, because upstreams register again when the store is back.
class UpstreamRegistry {
public:
    using Upstreams = std::map<Shards::UpstreamId, Shards::UpstreamInfo>;

    struct Handlers {
        /// An upstream is new or tells something else of itself.
        std::function<void(const Shards::UpstreamInfo&)> changed;
        std::function<void(const Shards::UpstreamId&)> removed;
    };

    UpstreamRegistry(NodeContext&, Platform::Store&, Handlers);

    /// Begins to read the registrations, or stops and forgets them.
    void follow(bool wanted);
    /// Removes upstreams whose registration has been missing for too long.
    void advance(TimePoint now);
    /// True once all registrations have been read.
    bool loaded() const { return rows_ && rows_->loaded(); }
    const Upstreams& upstreams() const { return upstreams_; }

private:
    void handleRow(const Platform::Row&);
    void handleRemoved(const std::string& key);

    NodeContext& context_;
    Platform::Store& store_;
    Handlers handlers_;
    std::unique_ptr<TableFollower> rows_;
    Upstreams upstreams_;
    // Registrations that are missing, with the time at which their upstreams count as gone.
    std::map<Shards::UpstreamId, TimePoint> missing_;
};

} // namespace Balsammill
