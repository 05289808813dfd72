#include "ShardDirectory.h"

#include "balsammill/internal/shard.pb.h"

namespace Balsammill {

bool ShardDirectory::apply(const Platform::Row& row, TimePoint now)
{
    if (row.key == layoutKey) {
        balsammill::internal::ShardLayoutRecord record;
        if (!record.ParseFromString(row.value) || record.shards_per_domain() == 0)
            return false;
        shardsPerDomain_ = record.shards_per_domain();
        return true;
    }
    balsammill::internal::ShardOwnerRecord record;
    if (!record.ParseFromString(row.value) || record.epoch() == 0)
        return false;
    auto& owner = owners_[Shards::ShardName(row.key)];
    if (owner.version >= row.version)
        return true;
    owner = { .version = row.version,
        .epoch = Epoch(record.epoch()),
        .vm = VmName(record.vm()),
        .incarnation = Incarnation(record.incarnation()),
        .address = NetworkAddress(record.peer_address()),
        .renewal = record.renewal(),
        .released = record.released(),
        .handedOverBy = VmName(record.handed_over_by()),
        .handedOverByIncarnation = Incarnation(record.handed_over_by_incarnation()),
        .changedAt = now };
    return true;
}

void ShardDirectory::remove(const std::string& key)
{
    if (key == layoutKey)
        shardsPerDomain_.reset();
    else
        owners_.erase(Shards::ShardName(key));
}

void ShardDirectory::noteStatus(const Shards::ShardName& name, Epoch epoch, const ShardStatus& status)
{
    const auto* owner = find(name);
    if (owner == nullptr || owner->epoch == epoch)
        statuses_[name] = status;
}

const ShardOwner* ShardDirectory::find(const Shards::ShardName& name) const
{
    const auto found = owners_.find(name);
    return found == owners_.end() ? nullptr : &found->second;
}

const ShardStatus* ShardDirectory::statusOf(const Shards::ShardName& name) const
{
    const auto found = statuses_.find(name);
    return found == statuses_.end() ? nullptr : &found->second;
}

Shards::ShardName ShardDirectory::shardName(const FailureDomain& domain, unsigned index)
{
    return Shards::ShardName(domain.value + "/" + std::to_string(index));
}

FailureDomain ShardDirectory::domainOf(const Shards::ShardName& name)
{
    return FailureDomain(name.value.substr(0, name.value.rfind('/')));
}

Platform::Row ShardDirectory::encode(const Shards::ShardName& name, const ShardOwner& owner)
{
    balsammill::internal::ShardOwnerRecord record;
    record.set_epoch(owner.epoch.value);
    record.set_vm(owner.vm.value);
    record.set_incarnation(owner.incarnation.value);
    record.set_peer_address(owner.address.value);
    record.set_renewal(owner.renewal);
    record.set_released(owner.released);
    record.set_handed_over_by(owner.handedOverBy.value);
    record.set_handed_over_by_incarnation(owner.handedOverByIncarnation.value);
    return {
        .table = table, .part = {}, .key = name.value, .value = record.SerializeAsString(), .version = owner.version
    };
}

Platform::Row ShardDirectory::encodeLayout(unsigned shardsPerDomain)
{
    balsammill::internal::ShardLayoutRecord record;
    record.set_shards_per_domain(shardsPerDomain);
    return { .table = table, .part = {}, .key = layoutKey, .value = record.SerializeAsString(), .version = {} };
}

} // namespace Balsammill
