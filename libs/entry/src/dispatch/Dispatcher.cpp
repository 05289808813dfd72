#include "balsammill/entry/Dispatcher.h"

#include "DispatcherCore.h"

namespace Balsammill {

struct Dispatcher::Detail {
    std::shared_ptr<Balsammill::Detail::DispatcherCore> core;
};

Dispatcher::Dispatcher(DispatcherOptions options)
    : detail_(std::make_unique<Detail>())
{
    detail_->core = std::make_shared<Balsammill::Detail::DispatcherCore>(std::move(options));
}

Dispatcher::~Dispatcher() { stop(); }

void Dispatcher::start() { detail_->core->start(); }
void Dispatcher::setForwarder(TaskForwarder forwarder) { detail_->core->setForwarder(std::move(forwarder)); }

void Dispatcher::setUpstreams(const ServiceName& service, const std::vector<ReachableUpstream>& upstreams)
{
    detail_->core->setUpstreams(service, upstreams);
}

void Dispatcher::setClientAccountWeights(const std::map<ClientAccountName, std::uint32_t>& weights)
{
    detail_->core->setClientAccountWeights(weights);
}

TaskId Dispatcher::submit(DispatchTask task, DispatchCompletion completion)
{
    return detail_->core->submit(std::move(task), std::move(completion));
}

bool Dispatcher::cancel(TaskId id) { return detail_->core->cancel(id); }
SchedulerLoad Dispatcher::load(const ServiceName& service) const { return detail_->core->load(service); }

std::vector<UpstreamStatus> Dispatcher::upstreams(const ServiceName& service) const
{
    return detail_->core->upstreams(service);
}

std::vector<ServiceName> Dispatcher::services() const { return detail_->core->services(); }
std::vector<ClientAccountDemand> Dispatcher::clientAccountDemands() const
{
    return detail_->core->clientAccountDemands();
}
std::size_t Dispatcher::unfinishedTasks() const { return detail_->core->unfinishedTasks(); }
bool Dispatcher::waitUntilIdle(TimePoint deadline) const { return detail_->core->waitUntilIdle(deadline); }
void Dispatcher::stop() { detail_->core->stop(); }

} // namespace Balsammill
