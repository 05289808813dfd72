#include "StateReport.h"

#include "balsammill/entry/ConfigService.h"
#include "balsammill/entry/Dispatcher.h"
#include "balsammill/entry/JobService.h"

namespace Balsammill::Detail {

namespace {

const char* livenessName(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Dead:
        return "dead";
    case Liveness::Unreachable:
        return "unreachable";
    }
    return "unreachable";
}

void addMember(balsammill::v1::StateResponse& response, const Member& member)
{
    auto& row = *response.add_members();
    row.set_vm(member.id.vm.value);
    row.set_incarnation(member.id.incarnation.value);
    row.set_failure_domain(member.failureDomain.value);
    row.set_liveness(livenessName(member.liveness));
    row.set_leaving(member.leaving);
    row.set_config_version(member.configVersion.value);
}

void addService(balsammill::v1::StateResponse& response, const Dispatcher& dispatcher, const ServiceName& service)
{
    const auto load = dispatcher.load(service);
    response.set_queued_tasks(response.queued_tasks() + load.queuedTasks);
    response.set_running_tasks(response.running_tasks() + load.runningTasks);
    for (const auto& upstream : dispatcher.upstreams(service)) {
        auto& row = *response.add_upstreams();
        row.set_vm(upstream.vm.value);
        row.set_slots(upstream.slots.value);
        row.set_slots_in_use(upstream.slotsInUse.value);
        row.set_health(std::string(nameOf(upstream.health)));
        row.set_owned(true);
    }
}

} // namespace

balsammill::v1::StateResponse reportState(const ProcessId& self, const ConfigService& config, const MemberView& members,
    const Dispatcher& dispatcher, const JobService& jobs)
{
    balsammill::v1::StateResponse response;
    response.set_vm(self.vm.value);
    response.set_incarnation(self.incarnation.value);
    response.set_config_version(config.version().value);
    for (const auto& member : members.members)
        addMember(response, member);
    for (const auto& service : dispatcher.services())
        addService(response, dispatcher, service);
    for (auto& shard : jobs.shardStates())
        *response.add_shards() = std::move(shard);
    return response;
}

} // namespace Balsammill::Detail
