#include "balsammill/observe/Timeline.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace Balsammill;

// Guards against a ring buffer that grows, or that returns events in the wrong order after wrapping around.
TEST_CASE("A full timeline keeps the newest events, oldest first, and counts the dropped ones")
{
    Timeline timeline(3);
    for (int i = 1; i <= 5; ++i)
        timeline.record(EventKind::Received, "call-" + std::to_string(i), "");
    const auto page = timeline.read("", 10);
    CHECK(page.dropped == 2);
    REQUIRE(page.events.size() == 3);
    CHECK(page.events.front().subject == "call-3");
    CHECK(page.events.back().subject == "call-5");
    CHECK(timeline.read("", 1).events.at(0).subject == "call-5");
}

// Guards against missing tasks of a job, and against matching tasks of another job whose id starts with the same text.
TEST_CASE("Reading a job returns its own events and those of its tasks only")
{
    Timeline timeline(10);
    for (const auto* subject : { "job-1", "job-1/0", "job-10", "job-10/0" })
        timeline.record(EventKind::Started, subject, "");
    const auto page = timeline.read("job-1", 10);
    REQUIRE(page.events.size() == 2);
    CHECK(page.events[0].subject == "job-1");
    CHECK(page.events[1].subject == "job-1/0");
}

// Guards against partially written events when several threads write to the ring while it is read.
TEST_CASE("A reader sees only complete events while several threads write")
{
    Timeline timeline(16);
    std::atomic<bool> stop { false };
    std::vector<std::thread> writers;
    for (int writer = 0; writer < 3; ++writer) {
        writers.emplace_back([&timeline, writer] {
            for (int i = 0; i < 5000; ++i) {
                const auto text = std::to_string(writer) + "-" + std::to_string(i);
                timeline.record(EventKind::Queued, text, text);
            }
        });
    }
    int torn = 0;
    std::thread reader([&] {
        while (!stop.load()) {
            for (const auto& event : timeline.read("", 16).events)
                torn += event.subject == event.detail ? 0 : 1;
        }
    });
    for (auto& writer : writers)
        writer.join();
    stop = true;
    reader.join();
    CHECK(torn == 0);
    CHECK(timeline.read("", 16).events.size() == 16);
    CHECK(timeline.read("", 16).dropped == 15000 - 16);
}
