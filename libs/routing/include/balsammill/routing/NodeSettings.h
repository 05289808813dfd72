#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill {

/// Settings that an entry process needs before it can connect to the platform's store.
struct NodeSettings {
    VmName vm;
    FailureDomain domain;
    /// All failure domains of the deployment in ascending order, including the own one.
    std::vector<FailureDomain> allDomains {};
    /// Listening address for client connections.
    NetworkAddress clientListen;
    /// Listening address for the platform's readiness checks, which ask whether this entry accepts client connections.
    NetworkAddress readinessListen;
    /// Listening address for connections of other entries.
    NetworkAddress peerListen;
    /// Listening address for metrics; empty if they are not served.
    NetworkAddress metricsListen;
    /// Address of the platform's store.
    NetworkAddress storeAddress;
    /// Address of the advice service, which decides which upstreams may run a step; empty if there is none.
    NetworkAddress adviceAddress {};
    /// Writes per second that the store accepts from all entries together.
    double storeWritesPerSecond { 800 };
    /// Transactions per second that the store accepts for one partition.
    double storePartitionWritesPerSecond { 200 };
    /// Largest value of a row of the store, in bytes of its encoded form.
    std::size_t storeRowBytes { 65'536 };
    /// Processor time that this process may use, in cores; VMs with more of it are preferred as shard owners.
    double processorShare { 1.0 };
    /// Bandwidth of the VM's link in Mbit/s; 0 if unknown.
    double linkMbps { 0 };
    /// Memory that this process may use, in MB; 0 if unknown.
    std::uint64_t memoryMb { 0 };
    /// Descriptors that this process may have open; 0 if unknown.
    std::uint64_t fileDescriptors { 0 };
    /// Longest lease that an upstream grants.
    Duration maxLease {};
    /// Longest time from a stop request until the task has ended.
    Duration stopGrace {};
    /// Time between the termination signal and the forced kill of this process.
    Duration shutdownGrace {};
    /// Time after which a client resends a job that was not answered.
    Duration clientResendDelay {};
    /// Time for which the state of a durable job must remain available to clients after its end.
    Duration stateRetention {};
    /// Time from the request to evacuate a failure domain until no more tasks may be started there.
    Duration evacuationBound { std::chrono::seconds(5) };
};

} // namespace Balsammill
