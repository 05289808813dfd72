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

/// A queue of jobs and how requests reach it.
struct QueueConfig {
    Shards::QueueName name;
    /// Host name without a port, lower case.
    std::string host;
    std::string pathPrefix;
    ServiceName service;
    /// 0 is the most urgent.
    std::uint32_t priority { 0 };
    std::uint32_t maxAttempts { 1 };
    double stretch { 1.0 };
    /// Part of the response time objective that does not depend on the work.
    Duration targetOverhead {};
    Duration timeout {};
    /// Empty if any upstream of the service may run the queue's tasks.
    std::optional<Shards::AdvicePolicy> advice {};
};

/// Limits on what clients send.
struct ClientLimits {
    std::size_t maxHeaderBytes { 16 * 1024 };
    std::size_t maxBodyBytes { 256 * 1024 };
    Duration headerTimeout { std::chrono::seconds(3) };
    Duration idleTimeout { std::chrono::seconds(15) };
};

/// One version of the configuration.
struct RoutingConfig {
    ConfigVersion version;
    std::vector<QueueConfig> queues;
    ClientLimits limits;
};

/// Finds the queue of a request: the one with the request's host and the longest prefix of its path.
class QueueTable {
public:
    explicit QueueTable(RoutingConfig);

    const RoutingConfig& config() const { return config_; }
    /// Returns null if there is none. The host may carry a port.
    const QueueConfig* find(std::string_view host, std::string_view path) const;

private:
    RoutingConfig config_;
    // By host, longest prefix first.
    std::unordered_map<std::string, std::vector<const QueueConfig*>> byHost_;
};

} // namespace Balsammill
