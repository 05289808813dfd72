#include "Commands.h"

#include "balsammill/observe/RequestLog.h"
#include "balsammill/observe/TimelineMerge.h"
#include "balsammill/rpc/ConnectClient.h"
#include "balsammill/v1/operator.pb.h"

#include <CLI/CLI.hpp>
#include <Poco/Timestamp.h>

#include <fstream>
#include <iostream>
#include <memory>

namespace Balsammill {

namespace {

struct TimelineFlags {
    std::vector<std::string> addresses;
    std::vector<std::string> logFiles;
    std::int64_t contextMs { 2'000 };
    std::string token;
    std::string subject;
    std::string vm;
    std::string traceFile;
    std::uint32_t limit { 10'000 };
    std::int64_t timeoutMs { 5'000 };
};

std::optional<EventKind> parseKind(std::string_view name)
{
    for (int i = 0; i <= static_cast<int>(EventKind::Lifecycle); ++i) {
        if (nameOf(static_cast<EventKind>(i)) == name)
            return static_cast<EventKind>(i);
    }
    return std::nullopt;
}

ProcessTimeline toTimeline(const balsammill::v1::ReadTimelineResponse& response, std::int64_t clockOffsetUs)
{
    ProcessTimeline timeline {
        .vm = {}, .clockOffsetUs = clockOffsetUs, .page = { .events = {}, .dropped = response.dropped() }
    };
    for (const auto& row : response.events()) {
        const auto kind = parseKind(row.kind());
        if (!kind)
            continue; // Written by a newer version of the program.
        timeline.vm = VmName(row.vm());
        timeline.page.events.push_back({ .wallClockUs = row.time_us(),
            .sequence = row.sequence(),
            .kind = *kind,
            .subject = row.subject(),
            .detail = row.detail() });
    }
    return timeline;
}

// The entry reads its clock between the request and the answer, so the error of the clock offset is at most half of the
// round-trip time.
ProcessTimeline readTimeline(const TimelineFlags& flags, const std::string& address)
{
    balsammill::v1::ReadTimelineRequest query;
    query.set_subject(flags.subject);
    query.set_limit(flags.limit);
    const auto sentUs = Poco::Timestamp().epochMicroseconds();
    const auto answer = callOnce({
        .address = NetworkAddress(address),
        .method = MethodName("balsammill.v1.Operator/ReadTimeline"),
        .encoding = Encoding::Binary,
        .body = query.SerializeAsString(),
        .bearerToken = flags.token,
        .deadline = monotonicNow() + std::chrono::milliseconds(flags.timeoutMs),
    });
    const auto receivedUs = Poco::Timestamp().epochMicroseconds();
    balsammill::v1::ReadTimelineResponse response;
    if (!response.ParseFromString(answer.body))
        throw std::runtime_error("the answer of " + address + " cannot be decoded");
    return toTimeline(response, response.now_us() - (sentUs + receivedUs) / 2);
}

// Prints the log lines of one request from the log files of several processes.
int printRequestLog(const TimelineFlags& flags)
{
    std::vector<std::string> lines;
    for (const auto& path : flags.logFiles) {
        std::ifstream file(path);
        if (!file)
            throw std::runtime_error("log file '" + path + "' cannot be opened");
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    const auto requestLog
        = collectRequestLog(lines, { .subject = flags.subject, .context = std::chrono::milliseconds(flags.contextMs) });
    for (const auto& line : requestLog)
        std::cout << line << '\n';
    if (requestLog.empty())
        std::cerr << "no log line about '" << flags.subject
                  << "'; only a sample of the successful requests is logged\n";
    return requestLog.empty() ? 1 : 0;
}

int printTimeline(const TimelineFlags& flags)
{
    if (!flags.logFiles.empty())
        return printRequestLog(flags);
    if (flags.addresses.empty() || flags.token.empty())
        throw std::runtime_error("timeline needs --log, or --address and --token");
    std::vector<ProcessTimeline> timelines;
    int unreachable = 0;
    for (const auto& address : flags.addresses) {
        try {
            timelines.push_back(readTimeline(flags, address));
            if (timelines.back().page.dropped > 0)
                std::cerr << address << ": " << timelines.back().page.dropped << " older events were dropped\n";
        } catch (const RpcError& error) {
            std::cerr << address << ": " << error.what() << '\n';
            ++unreachable;
        }
    }
    const auto merged = mergeTimelines(timelines, { .subject = flags.subject, .vm = VmName(flags.vm) });
    std::cout << timelineText(merged);
    if (!flags.traceFile.empty()) {
        std::ofstream file(flags.traceFile);
        file << traceEventJson(merged);
        if (!file.flush())
            throw std::runtime_error("file '" + flags.traceFile + "' cannot be written");
    }
    return unreachable == 0 ? 0 : 1;
}

} // namespace

void addTimelineCommand(CLI::App& app, CommandAction& action)
{
    auto* command = app.add_subcommand("timeline", "Prints the events of several entries in chronological order");
    auto flags = std::make_shared<TimelineFlags>();
    command->add_option("--log", flags->logFiles, "Structured log of a process; may be repeated. Needs --subject");
    command
        ->add_option("--context-ms", flags->contextMs,
            "Also show general events within this many milliseconds before and after the request")
        ->capture_default_str();
    command->add_option("--address", flags->addresses, "IP:port of an entry's operator address; may be repeated")
        ->envname("BALSAMMILL_OPERATOR_ADDRESS");
    command->add_option("--token", flags->token, "Operator token")->envname("BALSAMMILL_OPERATOR_TOKEN");
    command->add_option("--subject", flags->subject, "Only events of this call or job");
    command->add_option("--vm", flags->vm, "Only events of or about this VM");
    command->add_option("--trace", flags->traceFile, "Also write trace-event JSON to this file");
    command->add_option("--limit", flags->limit, "Events read from each entry")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
    command->add_option("--timeout-ms", flags->timeoutMs, "Timeout for each entry")
        ->check(CLI::Range(1, 600'000))
        ->capture_default_str();
    command->callback([flags, &action] { action = [flags] { return printTimeline(*flags); }; });
}

} // namespace Balsammill
