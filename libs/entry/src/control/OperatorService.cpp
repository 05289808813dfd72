#include "balsammill/entry/OperatorService.h"

#include "ProtoCodec.h"
#include "balsammill/entry/ConfigService.h"
#include "balsammill/observe/Timeline.h"
#include "balsammill/v1/operator.pb.h"

#include <Poco/Timestamp.h>

#include <algorithm>

namespace Balsammill {

namespace {

constexpr std::string_view operatorServicePrefix = "balsammill.v1.Operator/";
// In the large deployment size, a change may take up to 14 s to come into force on all entries.
constexpr Duration defaultTimeout = std::chrono::seconds(14);
constexpr std::uint32_t defaultTimelineLimit = 1000;

// Compares every byte, so that the run time does not reveal the length of a matching prefix.
bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    unsigned difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i % right.size()]);
    return difference == 0;
}

// Reserves a tenth of the caller's timeout for the answer: if a change is not in force on all entries in time, the
// caller still receives the list of the VMs on which it is not.
TimePoint deadlineOf(const RpcRequest& request)
{
    const auto timeout = request.deadline ? *request.deadline - request.receivedAt : defaultTimeout;
    return request.receivedAt + timeout * 9 / 10;
}

template <typename Message> Message decode(const RpcRequest& request)
{
    Message message;
    Detail::decodeBody(request, message);
    return message;
}

} // namespace

OperatorService::OperatorService(OperatorServiceOptions options)
    : options_(std::move(options))
{
}

void OperatorService::requireToken(const RpcRequest& request)
{
    if (!options_.token.empty() && equalsInConstantTime(request.bearerToken, options_.token))
        return;
    if (refusalLog_.allow(monotonicNow()))
        logWarning(LogComponent::Operator, "call " + request.method.value + " refused: wrong or missing token");
    throw RpcError(
        { .code = ErrorCode::Unauthenticated, .message = "wrong or missing token", .verdict = Verdict::NotRun });
}

RpcAnswer OperatorService::handle(const RpcRequest& request)
{
    using namespace balsammill::v1;
    requireToken(request);
    const auto& name = request.method.value;
    const auto action
        = name.starts_with(operatorServicePrefix) ? name.substr(operatorServicePrefix.size()) : std::string();
    const auto answer = [&](const google::protobuf::Message& message) {
        return Detail::encodeAnswer(request, message, Verdict::Ran);
    };
    const auto change = [&](const ConfigChange& requested, std::optional<ConfigVersion> expected = std::nullopt) {
        logInfo(LogComponent::Operator, action + " requested");
        return answer(options_.config.change(requested, expected, deadlineOf(request)));
    };

    if (action == "ApplyConfig") {
        const auto apply = decode<ApplyConfigRequest>(request);
        return change(ReplaceConfig { apply.config() }, ConfigVersion(apply.expected_version()));
    }
    if (action == "DrainVm")
        return change(Balsammill::DrainVm { VmName(decode<VmRequest>(request).vm()) });
    if (action == "UndrainVm")
        return change(Balsammill::UndrainVm { VmName(decode<VmRequest>(request).vm()) });
    if (action == "StopService")
        return change(Balsammill::StopService { ServiceName(decode<ServiceRequest>(request).service()) });
    if (action == "ResumeService")
        return change(Balsammill::ResumeService { ServiceName(decode<ServiceRequest>(request).service()) });
    if (action == "GetConfig") {
        const auto current = options_.config.active().load();
        if (!current)
            throw RpcError({ .code = ErrorCode::NotFound,
                .message = "there is no configuration yet",
                .verdict = Verdict::NotRun });
        return answer(*current->content);
    }
    if (action == "GetState")
        return answer(options_.state());
    if (action == "ReadTimeline")
        return readTimeline(request);
    throw RpcError(
        { .code = ErrorCode::Unimplemented, .message = "there is no method " + name, .verdict = Verdict::NotRun });
}

RpcAnswer OperatorService::readTimeline(const RpcRequest& request) const
{
    const auto query = decode<balsammill::v1::ReadTimelineRequest>(request);
    const auto page = options_.timeline.read(query.subject(), query.limit() ? query.limit() : defaultTimelineLimit);
    balsammill::v1::ReadTimelineResponse response;
    response.set_now_us(Poco::Timestamp().epochMicroseconds());
    response.set_dropped(page.dropped);
    for (const auto& event : page.events) {
        auto& row = *response.add_events();
        row.set_time_us(event.wallClockUs);
        row.set_vm(options_.self.vm.value);
        row.set_kind(std::string(nameOf(event.kind)));
        row.set_subject(event.subject);
        row.set_detail(event.detail);
        row.set_sequence(event.sequence);
    }
    return Detail::encodeAnswer(request, response, Verdict::Ran);
}

} // namespace Balsammill
