#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill {

/// What an entry process has to know before it can reach the platform's store.
struct NodeSettings {
    VmName vm;
    FailureDomain domain;
    /// All failure domains of the deployment in ascending order, with the own one.
    std::vector<FailureDomain> allDomains {};
    /// Where clients connect.
    NetworkAddress clientListen;
    /// Where the platform asks whether this entry takes connections.
    NetworkAddress readinessListen;
    /// Where other entries connect.
    NetworkAddress peerListen;
    /// Where metrics are served; empty if nowhere.
    NetworkAddress metricsListen;
    NetworkAddress storeAddress;
    /// Where the service is asked that decides which upstreams may run a step; empty if there is none.
    NetworkAddress adviceAddress {};
    /// Writes a second that the store takes from all entries together.
    double storeWritesPerSecond { 800 };
    /// Share of a core that this process may use; stronger VMs are preferred as owners.
    double processorShare { 1.0 };
    /// Longest lease that an upstream grants.
    Duration maxLease {};
    /// Longest time that a stop of a task takes.
    Duration stopGrace {};
    /// Time between a termination signal and the kill.
    Duration shutdownGrace {};
    /// How long a client waits before it sends a job again that was not answered.
    Duration clientResendDelay {};
    /// How long the state of a durable job that has ended has to be told.
    Duration stateRetention {};
};

} // namespace Balsammill
