#include "ShardDirectory.h"

#include "balsammill/base/StableHash.h"
#include "balsammill/internal/shard.pb.h"

namespace Balsammill {

namespace {

// Callers accept a count that is up to two seconds old; the difference is left for the transfer.
constexpr Duration maxCountAge = std::chrono::milliseconds(1700);
// Bounds the loop over a domain's shards on every tick; one shard serves about 24 upstreams.
constexpr std::uint32_t maxShardsPerDomain = 10'000;

} // namespace

bool ShardDirectory::apply(const Platform::Row& row, TimePoint now)
{
    if (row.key == layoutKey) {
        balsammill::internal::ShardLayoutRecord record;
        if (!record.ParseFromString(row.value) || record.shards_per_domain() == 0
            || record.shards_per_domain() > maxShardsPerDomain)
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
        .domain
        = record.owner_domain().empty() ? domainOf(Shards::ShardName(row.key)) : FailureDomain(record.owner_domain()),
        .address = NetworkAddress(record.peer_address()),
        .renewal = record.renewal(),
        .released = record.released(),
        .handedOverBy = VmName(record.handed_over_by()),
        .handedOverByIncarnation = Incarnation(record.handed_over_by_incarnation()),
        .hasDurableJobs = record.keeps_jobs(),
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

void ShardDirectory::updateStatus(const Shards::ShardName& name, const ShardStatus& status)
{
    const auto* owner = find(name);
    if (owner == nullptr || owner->epoch == status.epoch)
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

std::optional<std::uint32_t> ShardDirectory::waitingJobs(const Shards::QueueName& queue, TimePoint now) const
{
    std::uint32_t sum = 0;
    for (const auto& [name, owner] : owners_) {
        if (!owner.hasDurableJobs)
            continue;
        const auto* status = statusOf(name);
        const bool usable = status != nullptr && status->waitingByQueue && status->epoch == owner.epoch
            && now - status->reportedAt <= maxCountAge;
        if (!usable)
            return std::nullopt;
        const auto found = status->waitingByQueue->find(queue);
        sum += found == status->waitingByQueue->end() ? 0 : found->second;
    }
    return sum;
}

std::optional<Shards::ShardName> ShardDirectory::homeShardOf(
    const JobId& job, const std::vector<FailureDomain>& allDomains) const
{
    if (!shardsPerDomain_)
        return std::nullopt;
    // Rendezvous hashing: every entry computes the same shard without a record of the job.
    std::optional<Shards::ShardName> home;
    std::uint64_t highest = 0;
    for (const auto& domain : allDomains) {
        for (unsigned i = 0; i < *shardsPerDomain_; ++i) {
            auto name = shardName(domain, i);
            const auto weight = stableHash(job.value + "/" + name.value);
            if (!home || weight > highest) {
                highest = weight;
                home = std::move(name);
            }
        }
    }
    return home;
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
    record.set_owner_domain(owner.domain.value);
    record.set_peer_address(owner.address.value);
    record.set_renewal(owner.renewal);
    record.set_released(owner.released);
    record.set_handed_over_by(owner.handedOverBy.value);
    record.set_handed_over_by_incarnation(owner.handedOverByIncarnation.value);
    record.set_keeps_jobs(owner.hasDurableJobs);
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
