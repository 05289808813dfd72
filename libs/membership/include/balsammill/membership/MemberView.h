#pragma once

#include "balsammill/base/ProcessId.h"

#include <string>
#include <vector>

namespace Balsammill {

enum class Liveness {
    Alive,
    Suspect,
    /// No heartbeat within the timeout, and either in the own failure domain or removed from the platform's list.
    Dead,
    /// In another failure domain and without a heartbeat within the timeout; it may be alive behind a partition.
    Unreachable,
};

/// Load of one service on an entry process, as reported in its latest heartbeat.
struct ReportedLoad {
    ServiceName service;
    Slots freeSlots;
    Slots totalSlots;
    Duration expectedWait {};

    bool operator==(const ReportedLoad&) const = default;
};

/// State of another entry process as known to this one.
struct Member {
    ProcessId id;
    FailureDomain failureDomain;
    NetworkAddress peerAddress;
    Liveness liveness { Liveness::Unreachable };
    bool leaving { false };
    ConfigVersion configVersion;
    std::vector<ReportedLoad> loads;

    bool operator==(const Member&) const = default;
};

/// Snapshot of the deployment's entry processes other than this one.
struct MemberView {
    ProcessId self;
    FailureDomain ownDomain;
    std::vector<Member> members;
    /// True after a pause of this process until its data on the members is up to date again; no job is admitted while
    /// it is true.
    bool selfSuspect { false };
    /// True once this process is leaving.
    bool selfLeaving { false };

    bool operator==(const MemberView&) const = default;
};

} // namespace Balsammill
