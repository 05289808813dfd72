#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/routing/NodeSettings.h"
#include "balsammill/shards/LeaseTimes.h"

#include <string_view>
#include <vector>

namespace Balsammill {

// The times that this promise rests on: no run of a best-effort job outlives its client's request by so long that the
// client has sent the job again.

// Interval of the checks for timeouts of tasks and peers; shorter than every timeout that it checks.
inline constexpr Duration tickInterval = std::chrono::milliseconds(50);
// Shard owners report more often, because load changes with each task and other owners place jobs by it.
inline constexpr Duration ownerStatusInterval = std::chrono::milliseconds(100);
// The status of an entry without shards is only a heartbeat.
inline constexpr Duration heartbeatInterval = std::chrono::milliseconds(250);

// Longest time without a message on a connection between entries or, on an inbound one, without a confirmation. Short
// enough to leave time for stopping a task before a client's resend.
inline constexpr Duration peerTimeout = std::chrono::milliseconds(800);
// Tasks of a submission are started for this time after its connection was last confirmed.
inline constexpr Duration confirmationTimeout = std::chrono::milliseconds(800);
// Time for the confirmation of an inherited submission: several times what its entry needs to connect and answer.
// Meanwhile no lease is extended on the upstreams that run its tasks, so it has to end, with the stop that follows,
// before the leases that the former owner granted.
inline constexpr Duration inheritedConfirmationTimeout = std::chrono::milliseconds(300);
// A job that was handed over is answered as in doubt if its new owner cannot be reached for this time; the same as the
// timeout for a silent owner.
inline constexpr Duration newOwnerConnectTimeout = peerTimeout;

// A process whose ticks are further apart was not running. Longer than the delay of a tick on a slow VM.
inline constexpr Duration stallThreshold = std::chrono::milliseconds(250);
// Time for reading what waited in the sockets of a process that was not running.
inline constexpr Duration settlePeriod = std::chrono::milliseconds(100);

// Answers arrive within a round trip in the failure domain; the rest allows for a slow process on either side.
inline constexpr Duration answerTimeout = std::chrono::milliseconds(200);
// Lease of a start request. It is short so that a start that arrives late is refused; report requests extend it.
inline constexpr Duration startLease = std::chrono::milliseconds(600);
// Added to the grace period of a stop before a report is requested to check its effect.
inline constexpr Duration stopMargin = std::chrono::milliseconds(10);
// Lowest allowed rate of an upstream's clock relative to real time.
inline constexpr double minClockRate = 0.98;

/// Real time that a duration on the slowest allowed upstream clock takes.
constexpr Duration onSlowestClock(Duration duration)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) / minClockRate));
}

static_assert(ownerStatusInterval + heartbeatInterval + 2 * tickInterval + stallThreshold <= peerTimeout,
    "a connection is confirmed in time although both sides are late and one was not running for a time that is not "
    "noticed");
static_assert(confirmationTimeout <= peerTimeout, "nothing is started for a connection that is about to be closed");
static_assert(stallThreshold + settlePeriod < peerTimeout, "a stall is noticed before the connection is given up");
static_assert(onSlowestClock(answerTimeout) < Shards::minStartLease, "a start is answered within the shortest lease");
static_assert(inheritedConfirmationTimeout + 2 * tickInterval + answerTimeout <= startLease,
    "an inherited submission is confirmed, or its run stopped, within the lease of a start");
static_assert(Shards::minStartLease <= startLease, "a start without a limit has a sufficient lease");

/// A time budget that depends on the settings.
struct TimeBudget {
    /// The setting that is too short, or too long if it is part of the need.
    std::string_view setting;
    Duration available;
    Duration needed;
};

/// The budgets that these settings exceed. The promise above still holds then, because leases are shortened to it, but
/// tasks start late, lapse or block their upstream.
std::vector<TimeBudget> exceededBudgets(const NodeSettings&);

} // namespace Balsammill
