#include "balsammill/observe/ClockOffset.h"
#include "balsammill/observe/TimelineMerge.h"

#include <Poco/JSON/Parser.h>
#include <doctest/doctest.h>

#include <random>

using namespace Balsammill;

namespace {

TimelineEvent event(std::int64_t us, std::uint64_t sequence, EventKind kind, const std::string& subject)
{
    return { us, sequence, kind, subject, "" };
}

std::vector<ProcessTimeline> twoProcesses()
{
    return { { VmName("a"), 0,
                 { { event(1000, 1, EventKind::Received, "job"), event(3000, 2, EventKind::Answered, "job") }, 0 } },
        { VmName("b"), 500'000,
            { { event(502'000, 9, EventKind::Started, "job/0"), event(501'000, 10, EventKind::Answered, "job/0"),
                  event(502'600, 11, EventKind::Membership, "a") },
                0 } } };
}

std::string vmsAndKindsOf(const std::vector<MergedEvent>& events)
{
    std::string text;
    for (const auto& merged : events)
        text += merged.vm.value + ":" + std::string(nameOf(merged.event.kind)) + " ";
    return text;
}

Poco::JSON::Array::Ptr traceEvents(const std::vector<MergedEvent>& events)
{
    Poco::JSON::Parser parser;
    return parser.parse(traceEventJson(events)).extract<Poco::JSON::Object::Ptr>()->getArray("traceEvents");
}

} // namespace

// Guards against an offset with the wrong sign, and against delayed heartbeats that distort the estimate.
TEST_CASE("The clock offset is estimated to within half of the shortest round trip")
{
    ClockOffset clock;
    CHECK_FALSE(clock.estimate().has_value());
    constexpr std::int64_t offset = -250'000;
    std::mt19937 random(11);
    std::uniform_int_distribution<std::int64_t> delay(200, 50'000);
    std::int64_t sent = 1'000'000'000;
    for (int i = 0; i < 40; ++i) {
        const auto peerReceived = sent + delay(random) + offset;
        const auto peerSent = peerReceived + 70'000;
        clock.add({ sent, 70'000, peerSent, peerSent - offset + delay(random) });
        sent += 200'000;
    }
    // Unusable samples: one without an echo, and one with a negative round trip because the clock was set back.
    clock.add({ 0, 0, sent, sent });
    clock.add({ sent, 70'000, sent, sent + 10 });
    const auto estimate = clock.estimate();
    REQUIRE(estimate.has_value());
    CHECK(std::abs(estimate->offsetUs - offset) <= estimate->errorUs);
    CHECK(estimate->errorUs < 25'000);
}

// Guards against events that are sorted by uncorrected clocks, and against events of one process that change their
// order because its clock was set back.
TEST_CASE("Events of several processes are merged by corrected time")
{
    const auto merged = mergeTimelines(twoProcesses(), {});
    CHECK(vmsAndKindsOf(merged) == "a:received b:started b:answered b:membership a:answered ");
    CHECK(timelineText(merged).find("1970-01-01T00:00:00.002000Z b started job/0\n") != std::string::npos);
}

// Guards against a filter that hides the tasks of a job, or the events that other processes recorded about a VM.
TEST_CASE("Events can be selected by subject and by VM")
{
    CHECK(vmsAndKindsOf(mergeTimelines(twoProcesses(), { .subject = "job" }))
        == "a:received b:started b:answered a:answered ");
    CHECK(vmsAndKindsOf(mergeTimelines(twoProcesses(), { .subject = "job/0" })) == "b:started b:answered ");
    CHECK(
        vmsAndKindsOf(mergeTimelines(twoProcesses(), { .vm = VmName("a") })) == "a:received b:membership a:answered ");
}

// Guards against split lines or invalid JSON caused by control characters, quotes or invalid UTF-8 in names that
// clients chose.
TEST_CASE("Names with special characters neither split lines nor break the JSON")
{
    const auto merged
        = mergeTimelines({ { VmName("a"), 0, { { event(1, 1, EventKind::Received, "x\"\n\xff") }, 0 } } }, {});
    CHECK(timelineText(merged) == "1970-01-01T00:00:00.000001Z a received x\"?\xff\n");
    CHECK(traceEvents(merged)->size() == 2);
}

// Guards against a trace without spans, and against one that shows the events of all processes in one row.
TEST_CASE("The trace-event JSON has a span per started task and a process per VM")
{
    std::map<std::string, int> phases;
    const auto events = traceEvents(mergeTimelines(twoProcesses(), {}));
    for (unsigned i = 0; i < events->size(); ++i) {
        const auto object = events->getObject(i);
        const auto phase = object->getValue<std::string>("ph");
        ++phases[phase];
        if (phase == "X") {
            CHECK(object->getValue<std::string>("name") == "job/0");
            CHECK(object->getValue<std::int64_t>("ts") == 2000);
            CHECK(object->has("dur"));
        }
    }
    CHECK(phases == std::map<std::string, int> { { "M", 2 }, { "X", 1 }, { "i", 3 } });
}
