#pragma once

#include "EchoMessages.h"
#include "LoadClass.h"

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Balsammill::Standin {

enum class CallOutcome {
    Completed,
    /// The answer does not belong to the request, or is incomplete.
    Mismatched,
    /// Refused or failed with the verdict not-run.
    RefusedNotRun,
    /// Failed with the verdict may-have-run, or with none.
    FailedMayHaveRun,
    /// Failed with the verdict ran.
    FailedRan,
    /// The connection ended or timed out without an answer.
    NoAnswer,
    NotConnected,
    /// Not sent, because the limit of calls in flight delayed it for longer than ClassRunner::sendDelayLimit.
    NotSent,
};

std::string_view nameOf(CallOutcome);

struct CallResult {
    CallOutcome outcome { CallOutcome::Completed };
    /// Error code or cause, for the report; empty for completed calls.
    std::string cause {};
};

struct LoadTarget {
    std::vector<NetworkAddress> entries;
    Duration timeout { std::chrono::seconds(5) };
};

/// Pool of keep-alive connections to one entry. Thread-safe.
class EntryConnectionPool {
public:
    using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    EntryConnectionPool(const NetworkAddress&, Duration timeout);

    /// Returns an idle connection that is still open, or a new one that is not connected yet.
    Session acquire();
    void release(Session);

private:
    std::string host_;
    std::uint16_t port_;
    Duration timeout_;
    std::mutex mutex_;
    std::vector<Session> idleSessions_;
};

/// Sends calls and jobs to the entries in round-robin order, and checks each answer against its request. Thread-safe.
class LoadCaller {
public:
    LoadCaller(const LoadTarget&, std::shared_ptr<const EchoMessages>, std::uint64_t seed);

    /// Throws std::invalid_argument if the schema has no such method.
    const MethodInfo& methodOf(const LoadClass&) const;
    /// Sends one call or job of the class and waits for its result. A number must not be used twice.
    CallResult call(const LoadClass&, const MethodInfo&, std::uint64_t number);

private:
    struct Answer {
        int status { 0 };
        std::string verdict;
        std::string body;
    };

    CallResult callMethod(const LoadClass&, const MethodInfo&, std::uint64_t number);
    CallResult submitJob(const LoadClass&, const MethodInfo&, std::uint64_t number);
    /// Returns the answer if its status is 200, otherwise the failure.
    std::variant<Answer, CallResult> exchange(const LoadClass&, const std::string& method, const std::string& body);
    Answer exchangeOn(
        Poco::Net::HTTPClientSession&, const LoadClass&, const std::string& method, const std::string& body);

    Duration timeout_;
    std::vector<std::unique_ptr<EntryConnectionPool>> entries_;
    std::atomic<std::uint64_t> nextEntry_ { 0 };
    std::shared_ptr<const EchoMessages> messages_;
    /// Prefix of the job ids, which makes them unique across runs.
    std::string jobPrefix_;
};

} // namespace Balsammill::Standin
