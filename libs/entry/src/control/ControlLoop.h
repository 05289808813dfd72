#pragma once

#include "EntryRegistrar.h"
#include "balsammill/base/RcuCell.h"
#include "balsammill/config/ActiveConfig.h"
#include "balsammill/entry/EntryOptions.h"
#include "balsammill/membership/HeartbeatSchedule.h"
#include "balsammill/membership/MemberTable.h"
#include "balsammill/membership/PauseDetector.h"
#include "balsammill/platform/PlatformClient.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace balsammill::internal {
class Heartbeat;
class PeerMessage;
} // namespace balsammill::internal

namespace Balsammill {

class ConfigService;
class Dispatcher;
class JobService;
class Metrics;
class PeerTransport;
class TaskForwarding;
class Timeline;

struct ControlLoopOptions {
    const EntryOptions& settings;
    ProcessId self;
    RcuCell<MemberView>& members;
    const PlatformClient& platform;
    ConfigService& config;
    Dispatcher& dispatcher;
    JobService& jobs;
    TaskForwarding& forwarding;
    PeerTransport& transport;
    Timeline& timeline;
    Metrics& metrics;
};

/// Keeps this process's view of the deployment up to date: the liveness of members, the active configuration and the
/// upstreams assigned to this process. One thread runs the periodic ticks; platform calls run on a second thread, so
/// that a slow platform does not delay heartbeats.
class ControlLoop {
public:
    explicit ControlLoop(const ControlLoopOptions&);
    ~ControlLoop();

    /// peerAddress: the address that other entries connect to.
    void start(const NetworkAddress& peerAddress);
    void stop();
    /// True once upstreams have been assigned from a configuration and the platform's list, and either all other
    /// entries are alive or the settling time has passed.
    bool isReady() const { return ready_.load(); }
    /// Marks this process as leaving in its heartbeats, so that the other entries take over its upstreams.
    void setLeaving();

    void handleHeartbeat(const ProcessId& sender, const balsammill::internal::Heartbeat&);
    /// Must be called after a newer configuration became active.
    void configChanged();

private:
    void runTicks();
    void runPlatformPolling(EntryRegistrar&);
    bool waitOrStop(Duration);

    void tick(TimePoint now);
    void detectPause(TimePoint now);
    /// Publishes the current view. Returns true if the members' status (not only their reported loads) has changed.
    bool publishView(TimePoint now);
    void reportChanges(const MemberView& previous, const MemberView& next) const;
    void sendHeartbeats(const MemberView&, TimePoint now);
    balsammill::internal::PeerMessage makeHeartbeat(bool leaving) const;
    void connectPeers();
    void applyLists(const std::vector<ListedEntry>&, std::vector<ListedUpstream>, TimePoint requestedAt);
    void assignUpstreams(const MemberView&);
    void updateReadiness(const MemberView&, TimePoint now);

    ControlLoopOptions options_;
    std::atomic<bool> leaving_ { false };
    std::atomic<bool> ready_ { false };

    mutable std::mutex mutex_;
    MemberTable table_;
    std::vector<ListedUpstream> upstreams_;
    std::optional<TimePoint> settledAt_;
    bool assignmentDue_ { true };
    /// End of the last pause of this process. While set, the process considers itself suspect until it receives a
    /// heartbeat or platform list that is newer than the pause.
    std::optional<TimePoint> pausedUntil_;

    // Accessed only by the tick thread.
    bool assigned_ { false };
    HeartbeatSchedule schedule_;
    PauseDetector pauseDetector_;

    std::mutex stopMutex_;
    std::condition_variable stopCondition_;
    bool stopping_ { false };
    std::thread tickThread_;
    std::thread platformThread_;
};

} // namespace Balsammill
