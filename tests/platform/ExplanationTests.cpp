#include "Fleet.h"

#include "balsammill/observe/RequestLog.h"

#include <doctest/doctest.h>

#include <fstream>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

std::vector<std::string> logLines(const Fleet& fleet)
{
    std::vector<std::string> lines;
    for (const auto& path : fleet.logFiles()) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);)
            lines.push_back(line);
    }
    return lines;
}

std::string joinLines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const auto& line : lines)
        text += line + "\n";
    return text;
}

// Log lines about the request. Waits up to 10 s until they contain the event, because logs are written with a delay.
std::string timelineWithEvent(const Fleet& fleet, const std::string& id, const std::string& event)
{
    std::string timeline;
    waitUntil(in(10s), [&] {
        timeline = joinLines(Balsammill::collectRequestLog(logLines(fleet), { .subject = id }));
        return timeline.find("event=" + event) != std::string::npos;
    });
    return timeline;
}

} // namespace

// Guards against a refusal whose reason cannot be found in the logs.
TEST_CASE("The logs show why a request was refused under overload [explain]")
{
    Fleet fleet({ .name = "explain-refused", .entriesPerDomain = 1, .upstreamsPerDomain = 1, .runMs = 3'000 });
    REQUIRE(fleet.waitUntilReady());
    std::this_thread::sleep_for(500ms);
    std::vector<std::thread> clients;
    for (int i = 0; i < 3; ++i)
        clients.emplace_back([&fleet, i] { fleet.submit(0, "00000000000000a" + std::to_string(i), 3); });
    CHECK(waitUntil(in(10s), [&] { return fleet.starts() >= 3; }));
    ClientAnswer answer;
    const std::string id = "00000000000000ff";
    CHECK(waitUntil(in(10s), [&] {
        answer = fleet.submit(0, id, 30);
        return answer.status == 429;
    }));
    CHECK_NE(answer.retryAfter, "");
    for (auto& client : clients)
        client.join();
    const auto timeline = timelineWithEvent(fleet, id, "job.refused");
    CHECK_NE(timeline.find("event=job.refused id=" + id), std::string::npos);
    CHECK_NE(timeline.find("usable_upstreams=1"), std::string::npos);
    // The line shows both reasons for a refusal: the forecast end is after the objective, or the job would displace
    // more accepted work than it adds.
    for (const auto* field : { "forecast_ms=", "objective_ms=", "work_core_ms=", "displaced_core_ms=" })
        CHECK_MESSAGE(timeline.find(field) != std::string::npos, field, " is missing in ", timeline);
}

// Guards against a 502 answer, whose job may have run, without a trace in the logs that the shard owner was lost.
TEST_CASE("The logs show that a request was answered 502 because its shard owner was lost [explain]")
{
    Fleet fleet({ .name = "explain-owner", .runMs = 1'500 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    const auto other = 1 - owner;
    const std::string id = "00000000000000e1";
    ClientAnswer answer;
    std::thread client([&] { answer = fleet.submit(other, id, 1); });
    CHECK(waitUntil(in(10s), [&] { return fleet.starts() >= 1; }));
    fleet.entry(owner).kill();
    client.join();
    CHECK_EQ(answer.status, 502);
    CHECK(waitUntil(in(10s), [&] { return fleet.ownerOf("valencia") == other; }));
    const auto timeline = timelineWithEvent(fleet, id, "shard.gained");
    CHECK_NE(timeline.find("event=job.owner_lost id=" + id), std::string::npos);
    CHECK_NE(timeline.find("event=peer.lost peer=valencia" + std::to_string(owner)), std::string::npos);
    CHECK_NE(timeline.find("event=shard.gained shard=valencia/0"), std::string::npos);
}

// Guards against a failed job for which the logs do not name the upstreams that failed.
TEST_CASE("The logs show on which upstreams the tasks of a failed job failed [explain]")
{
    Fleet fleet({ .name = "explain-failed", .entriesPerDomain = 1 });
    REQUIRE(fleet.waitUntilReady());
    for (std::size_t i = 0; i < fleet.upstreamCount(); ++i)
        fleet.upstream(i).setFailing(true);
    const std::string id = "00000000000000f1";
    const auto answer = fleet.submit(0, id, 1);
    CHECK_EQ(answer.body, R"({"state":"failed"})");
    const auto timeline = timelineWithEvent(fleet, id, "job.ended");
    CHECK_NE(timeline.find("event=task.failed id=" + id + " index=0 run=1 upstream=i-valencia"), std::string::npos);
    CHECK_NE(timeline.find("failures=3 allowed=3"), std::string::npos);
    CHECK_NE(timeline.find("result=failed"), std::string::npos);
}
