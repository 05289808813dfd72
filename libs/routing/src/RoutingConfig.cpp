#include "balsammill/routing/RoutingConfig.h"

#include <algorithm>
#include <cctype>

namespace Balsammill {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

} // namespace

QueueTable::QueueTable(RoutingConfig config)
    : config_(std::move(config))
{
    for (const auto& queue : config_.queues)
        byHost_[normalizedHost(queue.host)].push_back(&queue);
    for (auto& [host, queues] : byHost_) {
        std::stable_sort(queues.begin(), queues.end(),
            [](const QueueConfig* a, const QueueConfig* b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
}

const QueueConfig* QueueTable::find(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end())
        return nullptr;
    for (const auto* queue : found->second) {
        if (path.substr(0, queue->pathPrefix.size()) == queue->pathPrefix)
            return queue;
    }
    return nullptr;
}

} // namespace Balsammill
