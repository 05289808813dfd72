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
    /// No task starts. Running tasks stop; their connections and those of new calls are reset.
    Dead,
    /// Run times are multiplied by the factor.
    Slow,
    /// Every task starts and fails immediately.
    FailAll,
    /// Fewer slots than declared are available: the declared number multiplied by the factor.
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

/// Simulated upstream: a task of any schema occupies its slots for its run time and echoes its request. Thread-safe.
class UpstreamService {
public:
    /// The log must outlive the service.
    UpstreamService(UpstreamOptions, StartLog&);

    void handle(HttpRequest&, HttpResponse&);

private:
    struct Admission {
        UpstreamMode mode;
        TimePoint endsAt;
    };

    void handleCall(HttpRequest&, HttpResponse&, const std::string& methodName);
    void handleControl(HttpRequest&, HttpResponse&, const Target&);
    /// Reserves the slots of a task and fixes its mode and end time; empty if too few slots are free.
    std::optional<Admission> admit(const MethodInfo&);
    void runTask(HttpRequest&, HttpResponse&, const MethodInfo&, const Admission&, const std::string& answer);
    /// Returns false if the mode Dead is set before that time.
    bool waitForRunTime(TimePoint endsAt);
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
