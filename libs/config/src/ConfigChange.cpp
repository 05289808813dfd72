#include "balsammill/config/ConfigChange.h"

#include "FaultList.h"

#include <algorithm>

namespace Balsammill {

namespace {

using balsammill::v1::DeploymentConfig;
using Detail::FaultList;

void requireVmName(const VmName& vm)
{
    FaultList faults;
    faults.checkName("vm", vm.value);
    if (auto found = faults.take(); !found.empty())
        throw ConfigError(std::move(found));
}

void setStopped(DeploymentConfig& config, const ServiceName& name, bool stopped)
{
    for (auto& service : *config.mutable_services()) {
        if (service.name() == name.value) {
            service.set_stopped(stopped);
            return;
        }
    }
    FaultList faults;
    faults.add("service", name.value, "the configuration has no such service");
    throw ConfigError(faults.take());
}

class ChangeApplier {
public:
    explicit ChangeApplier(DeploymentConfig& config)
        : config_(config)
    {
    }

    void operator()(const DrainVm& change)
    {
        requireVmName(change.vm);
        const auto& drained = config_.drained_vms();
        if (std::find(drained.begin(), drained.end(), change.vm.value) == drained.end())
            config_.add_drained_vms(change.vm.value);
    }

    void operator()(const UndrainVm& change)
    {
        requireVmName(change.vm);
        auto& drained = *config_.mutable_drained_vms();
        drained.erase(std::remove(drained.begin(), drained.end(), change.vm.value), drained.end());
    }

    void operator()(const StopService& change) { setStopped(config_, change.service, true); }
    void operator()(const ResumeService& change) { setStopped(config_, change.service, false); }

    void operator()(const ReplaceConfig& change)
    {
        const auto version = config_.version();
        const auto changeId = config_.change_id();
        config_ = change.config;
        config_.set_version(version);
        config_.set_change_id(changeId);
    }

private:
    DeploymentConfig& config_;
};

} // namespace

DeploymentConfig applyChange(const DeploymentConfig& current, const ConfigChange& change)
{
    DeploymentConfig next = current;
    std::visit(ChangeApplier(next), change);
    return next;
}

} // namespace Balsammill
