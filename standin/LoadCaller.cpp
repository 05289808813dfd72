#include "LoadCaller.h"

#include "balsammill/base/Verdict.h"
#include "balsammill/v1/jobs.pb.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <stdexcept>

namespace Balsammill::Standin {

namespace v1 = ::balsammill::v1;

namespace {

std::string millisecondsText(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

CallOutcome outcomeOf(const std::string& verdictText)
{
    const auto verdict = parseVerdict(verdictText);
    if (verdict == Verdict::NotRun)
        return CallOutcome::RefusedNotRun;
    return verdict == Verdict::Ran ? CallOutcome::FailedRan : CallOutcome::FailedMayHaveRun;
}

CallOutcome outcomeOf(v1::Verdict verdict)
{
    if (verdict == v1::VERDICT_NOT_RUN)
        return CallOutcome::RefusedNotRun;
    return verdict == v1::VERDICT_RAN ? CallOutcome::FailedRan : CallOutcome::FailedMayHaveRun;
}

std::string errorCodeOf(int status, const std::string& body)
{
    try {
        return Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>()->getValue<std::string>("code");
    } catch (const Poco::Exception&) {
        return "status " + std::to_string(status);
    }
}

} // namespace

std::string_view nameOf(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Completed:
        return "completed";
    case CallOutcome::Mismatched:
        return "mismatched";
    case CallOutcome::RefusedNotRun:
        return "refused_not_run";
    case CallOutcome::FailedMayHaveRun:
        return "failed_may_have_run";
    case CallOutcome::FailedRan:
        return "failed_ran";
    case CallOutcome::NoAnswer:
        return "no_answer";
    case CallOutcome::NotConnected:
        return "not_connected";
    case CallOutcome::NotSent:
        return "not_sent";
    }
    return "unknown";
}

EntryConnectionPool::EntryConnectionPool(const NetworkAddress& address, Duration timeout)
    : timeout_(timeout)
{
    const Poco::Net::SocketAddress parsed(address.value);
    host_ = parsed.host().toString();
    port_ = parsed.port();
}

EntryConnectionPool::Session EntryConnectionPool::acquire()
{
    std::unique_lock lock(mutex_);
    while (!idleSessions_.empty()) {
        auto session = std::move(idleSessions_.back());
        idleSessions_.pop_back();
        // An idle connection becomes readable when the entry closes it.
        if (!session->socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return session;
    }
    lock.unlock();
    auto session = std::make_unique<Poco::Net::HTTPClientSession>(host_, port_);
    session->setKeepAlive(true);
    session->setKeepAliveTimeout(Poco::Timespan(600, 0));
    // 1 s longer than the timeout of the call, so that the entry's answer to a call that timed out still arrives.
    const Poco::Timespan timeout((timeout_ + std::chrono::seconds(1)).count());
    session->setTimeout(Poco::Timespan(2, 0), timeout, timeout);
    return session;
}

void EntryConnectionPool::release(Session session)
{
    std::lock_guard lock(mutex_);
    idleSessions_.push_back(std::move(session));
}

LoadCaller::LoadCaller(const LoadTarget& target, std::shared_ptr<const EchoMessages> messages, std::uint64_t seed)
    : timeout_(target.timeout)
    , messages_(std::move(messages))
    , jobPrefix_(std::to_string(seed) + "-"
          + std::to_string(std::chrono::system_clock::now().time_since_epoch().count()) + "-")
{
    for (const auto& address : target.entries)
        entries_.push_back(std::make_unique<EntryConnectionPool>(address, timeout_));
}

const MethodInfo& LoadCaller::methodOf(const LoadClass& load) const
{
    const auto* method = messages_->findMethod(load.method.value);
    if (method == nullptr)
        throw std::invalid_argument("the schema has no method \"" + load.method.value + "\"");
    return *method;
}

CallResult LoadCaller::call(const LoadClass& load, const MethodInfo& method, std::uint64_t number)
{
    return load.tasksPerJob == 0 ? callMethod(load, method, number) : submitJob(load, method, number);
}

CallResult LoadCaller::callMethod(const LoadClass& load, const MethodInfo& method, std::uint64_t number)
{
    const auto request = messages_->makeRequest(method, number);
    auto result = exchange(load, method.name.value, request);
    if (auto* failure = std::get_if<CallResult>(&result))
        return std::move(*failure);
    if (!messages_->matches(method, request, std::get<Answer>(result).body))
        return { .outcome = CallOutcome::Mismatched, .cause = "answer of another request" };
    return {};
}

CallResult LoadCaller::submitJob(const LoadClass& load, const MethodInfo& method, std::uint64_t number)
{
    v1::SubmitRequest submission;
    submission.set_job_id(jobPrefix_ + load.name + "-" + std::to_string(number));
    submission.set_team(load.clientAccount.value);
    submission.set_home_failure_domain(load.homeFailureDomain);
    submission.set_method(method.name.value);
    submission.set_timeout_ms(
        static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout_).count()));
    submission.set_first_attempt(true);
    for (std::uint32_t task = 0; task < load.tasksPerJob; ++task)
        submission.add_tasks(messages_->makeRequest(method, number * load.tasksPerJob + task));
    auto exchangeResult = exchange(load, "balsammill.v1.Jobs/Submit", submission.SerializeAsString());
    if (auto* failure = std::get_if<CallResult>(&exchangeResult))
        return std::move(*failure);
    v1::JobResult result;
    if (!result.ParseFromString(std::get<Answer>(exchangeResult).body) || result.job_id() != submission.job_id())
        return { .outcome = CallOutcome::Mismatched, .cause = "answer of another job" };
    if (result.state() != v1::JOB_STATE_COMPLETE)
        return { .outcome = outcomeOf(result.verdict()), .cause = "job " + result.error_code() };
    if (result.answers_size() != submission.tasks_size())
        return { .outcome = CallOutcome::Mismatched, .cause = "job with missing answers" };
    for (int i = 0; i < result.answers_size(); ++i) {
        if (!messages_->matches(method, submission.tasks(i), result.answers(i)))
            return { .outcome = CallOutcome::Mismatched, .cause = "job with an answer of another task" };
    }
    return {};
}

std::variant<LoadCaller::Answer, CallResult> LoadCaller::exchange(
    const LoadClass& load, const std::string& method, const std::string& body)
{
    auto& entry = *entries_[nextEntry_.fetch_add(1) % entries_.size()];
    auto session = entry.acquire();
    try {
        auto answer = exchangeOn(*session, load, method, body);
        if (session->connected())
            entry.release(std::move(session));
        if (answer.status == 200)
            return answer;
        return CallResult { .outcome = outcomeOf(answer.verdict), .cause = errorCodeOf(answer.status, answer.body) };
    } catch (const Poco::Net::ConnectionRefusedException&) {
        return CallResult { .outcome = CallOutcome::NotConnected, .cause = "connection refused" };
    } catch (const Poco::Exception& error) {
        return CallResult { .outcome = CallOutcome::NoAnswer, .cause = error.displayText() };
    }
}

LoadCaller::Answer LoadCaller::exchangeOn(
    Poco::Net::HTTPClientSession& session, const LoadClass& load, const std::string& method, const std::string& body)
{
    Poco::Net::HTTPRequest httpRequest("POST", "/" + method, Poco::Net::HTTPMessage::HTTP_1_1);
    httpRequest.setKeepAlive(true);
    httpRequest.setContentType("application/proto");
    httpRequest.setContentLength64(static_cast<Poco::Int64>(body.size()));
    httpRequest.set("Connect-Protocol-Version", "1");
    httpRequest.set("Connect-Timeout-Ms", millisecondsText(timeout_));
    httpRequest.set("Balsammill-Team", load.clientAccount.value);
    session.sendRequest(httpRequest).write(body.data(), static_cast<std::streamsize>(body.size())).flush();

    Poco::Net::HTTPResponse httpResponse;
    auto& stream = session.receiveResponse(httpResponse);
    Answer answer {
        .status = httpResponse.getStatus(), .verdict = httpResponse.get("Balsammill-Verdict", ""), .body = {}
    };
    const auto length = httpResponse.getContentLength64();
    if (length < 0)
        throw Poco::Net::MessageException("answer without Content-Length");
    answer.body.resize(static_cast<std::size_t>(length));
    stream.read(answer.body.data(), length);
    if (stream.gcount() != length)
        throw Poco::Net::MessageException("answer was cut");
    if (!httpResponse.getKeepAlive())
        session.reset();
    return answer;
}

} // namespace Balsammill::Standin
