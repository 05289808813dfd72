#pragma once

#include "balsammill/base/ProcessId.h"

#include <string>
#include <vector>

namespace Balsammill {

enum class Liveness {
    Alive,
    Suspect,
    /// No heartbeat past the limit (own failure domain), or gone from the platform's list.
    Dead,
    /// In another failure domain and not heard of lately; it may be alive behind a partition.
    Unreachable,
};

/// Load of one service on an entry process, from its latest heartbeat.
struct ReportedLoad {
    ServiceName service;
    Slots freeSlots;
    Slots totalSlots;
    Duration expectedWait {};

    bool operator==(const ReportedLoad&) const = default;
};

/// Another entry process, as this one sees it.
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

/// Immutable view of the deployment's entry processes, without this one.
struct MemberView {
    ProcessId self;
    FailureDomain ownDomain;
    std::vector<Member> members;
    /// True after a pause of this process, until its views are fresh again; it then admits no job.
    bool selfSuspect { false };
    /// True once this process is leaving.
    bool selfLeaving { false };

    bool operator==(const MemberView&) const = default;
};

} // namespace Balsammill
