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

/// Keeps the views of this process up to date: who lives, which configuration is in force, which upstreams are its own.
/// One thread ticks; a second one talks to the platform, so that a slow platform delays no heartbeat.
class ControlLoop {
public:
    explicit ControlLoop(const ControlLoopOptions&);
    ~ControlLoop();

    /// peerAddress: where other entries connect.
    void start(const NetworkAddress& peerAddress);
    void stop();
    /// True once upstreams were assigned by a configuration and a list of VMs, and the other entries were heard of or
    /// had time to be.
    bool isReady() const { return ready_.load(); }
    /// From now on heartbeats say that this process is leaving, and its upstreams go to the other entries.
    void setLeaving();

    void handleHeartbeat(const ProcessId& sender, const balsammill::internal::Heartbeat&);
    /// Called when a newer configuration came into force.
    void configChanged();

private:
    void runTicks();
    void runPlatformPolling(EntryRegistrar&);
    bool waitOrStop(Duration);

    void tick(TimePoint now);
    void notePause(TimePoint now);
    /// Publishes the current view; true if it differs from the previous one in more than loads.
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
    /// While set, only news from after this time ends the suspicion of this process against itself.
    std::optional<TimePoint> pausedUntil_;

    // Used by the tick thread alone.
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
