#pragma once

#include "EchoMessages.h"
#include "HttpService.h"
#include "RunTime.h"
#include "StartLog.h"

#include "balsammill/base/ErrorCode.h"
#include "balsammill/base/Verdict.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace Balsammill::Standin {

enum class UpstreamMode {
    Ok,
    /// Connections are reset before the task starts; running tasks stop and their connections are reset.
    Dead,
    /// Run times are multiplied by the factor.
    Slow,
    /// Every task starts and fails at once.
    FailAll,
    /// Only the factor's share of the declared slots exists.
    LieSlots,
    /// Every task starts and its connection is closed without an answer.
    CloseAfterRequest,
};

/// Throws std::invalid_argument for an unknown name.
UpstreamMode parseUpstreamMode(const std::string&);

struct UpstreamOptions {
    std::shared_ptr<const EchoMessages> messages;
    Slots slots { 8 };
    RunTimeModel runTime { DeclaredRunTime {} };
    std::uint64_t seed { 1 };
};

/// One upstream: runs tasks of any schema by waiting for their run time, within its slots. Thread-safe.
class UpstreamService {
public:
    /// The log has to outlive the service.
    UpstreamService(UpstreamOptions, StartLog&);

    void handle(HttpRequest&, HttpResponse&);

private:
    struct Plan {
        UpstreamMode mode;
        TimePoint endsAt;
    };

    void handleCall(HttpRequest&, HttpResponse&, const std::string& methodName);
    void handleControl(HttpRequest&, HttpResponse&, const Target&);
    /// Takes slots and decides the task's fate; empty if the slots are full.
    std::optional<Plan> admit(const MethodInfo&);
    void runTask(HttpRequest&, HttpResponse&, const MethodInfo&, const Plan&, const std::string& answer);
    /// False if the upstream died first.
    bool waitUntilRun(TimePoint endsAt);
    void releaseSlots(Slots);
    void setMode(const Poco::JSON::Object&);
    void sendCounters(HttpResponse&) const;
    bool isDead() const;

    const UpstreamOptions options_;
    StartLog& log_;
    mutable std::mutex mutex_;
    std::condition_variable modeChanged_;
    UpstreamMode mode_ { UpstreamMode::Ok };
    double factor_ { 1 };
    std::uint32_t slotsInUse_ { 0 };
    std::uint32_t peakSlotsInUse_ { 0 };
    std::uint64_t refusedFull_ { 0 };
    std::mt19937_64 random_;
};

} // namespace Balsammill::Standin
