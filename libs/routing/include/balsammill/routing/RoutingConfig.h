#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"
#include "balsammill/shards/JobSpec.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Balsammill {

/// A queue of jobs, the requests that are routed to it, and the settings of its jobs.
struct QueueConfig {
    Shards::QueueName name;
    /// Host name without a port, lower case.
    std::string host;
    std::string pathPrefix;
    /// Service whose upstreams run the tasks.
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    std::uint32_t maxAttempts { 1 };
    /// The response time objective is stretch times the longest chain of work, plus targetOverhead.
    double stretch { 1.0 };
    /// Part of the response time objective that does not depend on the amount of work.
    Duration targetOverhead {};
    Duration timeout {};
    /// Empty if any upstream of the service may run the queue's tasks.
    std::optional<Shards::AdvicePolicy> advice {};
};

/// Limits on client connections and requests.
struct ClientLimits {
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxBodyBytes { 256 * 1024 };
    Duration headerTimeout { std::chrono::seconds(3) };
    Duration idleTimeout { std::chrono::seconds(15) };
};

/// A version of the configuration that the operator writes.
struct RoutingConfig {
    ConfigVersion version;
    std::vector<QueueConfig> queues;
    ClientLimits limits;
};

/// Maps a request to the queue with the request's host and the longest matching path prefix.
class QueueTable {
public:
    explicit QueueTable(RoutingConfig);

    const RoutingConfig& config() const { return config_; }
    /// Returns null if no queue matches. The case of the host and a port in it are ignored.
    const QueueConfig* find(std::string_view host, std::string_view path) const;

private:
    RoutingConfig config_;
    // Queues by lower-case host, longest path prefix first.
    std::unordered_map<std::string, std::vector<const QueueConfig*>> byHost_;
};

} // namespace Balsammill
