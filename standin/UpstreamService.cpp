#include "UpstreamService.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace Balsammill::Standin {

namespace {

constexpr std::array<std::pair<std::string_view, UpstreamMode>, 6> modeNames { {
    { "ok", UpstreamMode::Ok },
    { "dead", UpstreamMode::Dead },
    { "slow", UpstreamMode::Slow },
    { "fail-all", UpstreamMode::FailAll },
    { "lie-slots", UpstreamMode::LieSlots },
    { "close-after-request", UpstreamMode::CloseAfterRequest },
} };

double defaultFactor(UpstreamMode mode)
{
    switch (mode) {
    case UpstreamMode::Slow:
        return 10;
    case UpstreamMode::LieSlots:
        return 0.5;
    default:
        return 1;
    }
}

void sendError(HttpResponse& response, ErrorCode code, Verdict verdict, const std::string& message)
{
    Poco::JSON::Object object;
    object.set("code", std::string(nameOf(code)));
    object.set("message", message);
    std::ostringstream text;
    object.stringify(text);
    response.set("Balsammill-Verdict", std::string(nameOf(verdict)));
    sendAnswer(response, httpStatus(code), "application/json", text.str());
}

void refuse(HttpResponse& response, ErrorCode code, const std::string& message)
{
    sendError(response, code, Verdict::NotRun, message);
}

} // namespace

UpstreamMode parseUpstreamMode(const std::string& text)
{
    const auto* found
        = std::find_if(modeNames.begin(), modeNames.end(), [&](const auto& row) { return row.first == text; });
    if (found == modeNames.end())
        throw std::invalid_argument("unknown mode \"" + text + "\"");
    return found->second;
}

UpstreamService::UpstreamService(UpstreamOptions options, StartLog& log)
    : options_(std::move(options))
    , log_(log)
    , random_(options_.seed)
{
}

void UpstreamService::handle(HttpRequest& request, HttpResponse& response)
{
    const auto target = parseTarget(request.getURI());
    if (target.path.starts_with("/control/"))
        handleControl(request, response, target);
    else if (isDead())
        resetConnection(request, response);
    else if (request.getMethod() != "POST")
        sendAnswer(response, 405, "text/plain", "");
    else if (request.getContentType() != "application/proto")
        sendAnswer(response, 415, "text/plain", "");
    else
        handleCall(request, response, target.path.substr(1));
}

void UpstreamService::handleCall(HttpRequest& request, HttpResponse& response, const std::string& methodName)
{
    const auto* method = options_.messages->findMethod(methodName);
    if (method == nullptr)
        return refuse(response, ErrorCode::Unimplemented, "no method " + methodName);
    const auto answer = options_.messages->makeAnswer(*method, readBody(request));
    if (!answer)
        return refuse(response, ErrorCode::InvalidArgument, "the request does not parse");
    const auto admission = admit(*method);
    if (!admission)
        return refuse(response, ErrorCode::ResourceExhausted, "all slots are in use");
    runTask(request, response, *method, *admission, *answer);
}

std::optional<UpstreamService::Admission> UpstreamService::admit(const MethodInfo& method)
{
    std::lock_guard lock(mutex_);
    auto slots = options_.slots.value;
    if (mode_ == UpstreamMode::LieSlots)
        slots = static_cast<std::uint32_t>(std::floor(slots * factor_));
    if (slotsInUse_ + method.slots.value > slots) {
        ++refusedFull_;
        return std::nullopt;
    }
    slotsInUse_ += method.slots.value;
    peakSlotsInUse_ = std::max(peakSlotsInUse_, slotsInUse_);
    auto runTime = sampleRunTime(options_.runTime, method, random_);
    if (mode_ == UpstreamMode::Slow)
        runTime = std::chrono::duration_cast<Duration>(runTime * factor_);
    return Admission { .mode = mode_, .endsAt = monotonicNow() + runTime };
}

void UpstreamService::runTask(HttpRequest& request, HttpResponse& response, const MethodInfo& method,
    const Admission& admission, const std::string& answer)
{
    const auto number = log_.begin({ .taskId = request.get("Balsammill-Task-Id", ""),
        .attempt = request.get("Balsammill-Attempt", ""),
        .method = method.name.value });
    const bool failsAtOnce
        = admission.mode == UpstreamMode::FailAll || admission.mode == UpstreamMode::CloseAfterRequest;
    const bool interrupted = !failsAtOnce && !waitForRunTime(admission.endsAt);
    // Release the slots before sending the answer: the dispatcher may use them as soon as it has received the answer.
    releaseSlots(method.slots);

    if (interrupted) {
        log_.finish(number, "reset");
        resetConnection(request, response);
    } else if (admission.mode == UpstreamMode::FailAll) {
        log_.finish(number, "failed");
        sendError(response, ErrorCode::Internal, Verdict::Ran, "the task failed");
    } else if (admission.mode == UpstreamMode::CloseAfterRequest) {
        log_.finish(number, "closed");
        closeWithoutAnswer(response);
    } else {
        log_.finish(number, "ran");
        response.set("Balsammill-Verdict", std::string(nameOf(Verdict::Ran)));
        sendAnswer(response, 200, "application/proto", answer);
    }
}

bool UpstreamService::waitForRunTime(TimePoint endsAt)
{
    std::unique_lock lock(mutex_);
    return !modeChanged_.wait_until(lock, endsAt, [this] { return mode_ == UpstreamMode::Dead; });
}

void UpstreamService::releaseSlots(Slots slots)
{
    std::lock_guard lock(mutex_);
    slotsInUse_ -= slots.value;
}

bool UpstreamService::isDead() const
{
    std::lock_guard lock(mutex_);
    return mode_ == UpstreamMode::Dead;
}

void UpstreamService::handleControl(HttpRequest& request, HttpResponse& response, const Target& target)
{
    const auto action = request.getMethod() + " " + target.path;
    if (action == "PUT /control/mode") {
        setMode(*readJson(request));
        sendAnswer(response, 200, "text/plain", "");
    } else if (action == "GET /control/starts") {
        sendAnswer(response, 200, "application/jsonl", log_.toJsonLines());
    } else if (action == "GET /control/counters") {
        sendCounters(response);
    } else {
        sendAnswer(response, 404, "text/plain", "");
    }
}

void UpstreamService::setMode(const Poco::JSON::Object& object)
{
    const auto mode = parseUpstreamMode(object.getValue<std::string>("mode"));
    const auto factor = object.has("factor") ? object.getValue<double>("factor") : defaultFactor(mode);
    if (!(factor >= 0))
        throw std::invalid_argument("factor must be at least 0, is " + std::to_string(factor));
    {
        std::lock_guard lock(mutex_);
        mode_ = mode;
        factor_ = factor;
    }
    modeChanged_.notify_all();
}

void UpstreamService::sendCounters(HttpResponse& response) const
{
    Poco::JSON::Object object;
    object.set("starts", static_cast<std::uint64_t>(log_.count()));
    {
        std::lock_guard lock(mutex_);
        object.set("slots", options_.slots.value);
        object.set("slots_in_use", slotsInUse_);
        object.set("peak_slots_in_use", peakSlotsInUse_);
        object.set("refused_full", refusedFull_);
    }
    sendJson(response, object);
}

} // namespace Balsammill::Standin
