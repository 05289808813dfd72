#include "FakeEntry.h"
#include "Fleet.h"

#include <Poco/Net/HTTPClientSession.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;
using Answer = balsammill::internal::ShardJobAnswer;
using Message = FakeEntry::Message;

namespace {

constexpr auto shard = "valencia/0";
constexpr std::uint64_t submission = 7;
constexpr int longRunMs = 60'000;

// A job of a fake entry runs at the owner, which then hands the shard over.
struct HandOverOfFakeOrigin {
    Fleet fleet;
    FakeEntry origin { "origin" };
    std::size_t owner { 0 };
    std::size_t next { 0 };
    FakeEntryLink* toOwner { nullptr };
    FakeEntryLink* toNext { nullptr };

    HandOverOfFakeOrigin(const std::string& name, int runMs)
        : fleet({ .name = name, .upstreamsPerDomain = 1, .runMs = runMs })
    {
        REQUIRE(fleet.waitUntilReady());
        owner = fleet.ownerOf("valencia");
        REQUIRE_LT(owner, fleet.entryCount());
        next = 1 - owner;
        toOwner = &origin.connect(fleet.peerPort(owner));
        toNext = &origin.connect(fleet.peerPort(next));
        toOwner->send(FakeEntry::submitMessage(submission, shard, jobId(1), runMs));
        REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
        fleet.entry(owner).signal(SIGTERM);
    }

    // Sends the reply to the next owner after each new notice of either owner, until the condition holds.
    template <typename Condition> bool replyToNoticesUntil(const Message& reply, Condition condition)
    {
        std::size_t seen = 0;
        return waitUntil(in(20s), [&] {
            const auto notices = toOwner->movedNotices(submission) + toNext->movedNotices(submission);
            if (notices > seen)
                toNext->send(reply);
            seen = notices;
            return condition();
        });
    }
};

std::optional<Answer::Result> resultOf(const FakeEntryLink& link)
{
    const auto answer = link.answerTo(submission);
    return answer ? std::optional(answer->result()) : std::nullopt;
}

// A fake entry that owns the shard of a fleet with one real entry and hands it over to that entry.
struct FakeFormerOwner {
    Fleet& fleet;
    FakeEntry entry { "former" };
    std::uint64_t epoch { 0 };
    std::shared_ptr<FakeEntryLink> link;

    explicit FakeFormerOwner(Fleet& realFleet)
        : fleet(realFleet)
    {
        balsammill::internal::ShardOwnerRecord record;
        REQUIRE(record.ParseFromString(fleet.store().valueOf("shards", shard)));
        epoch = record.epoch() + 1;
        record.set_epoch(epoch);
        record.set_vm(entry.vm());
        record.set_incarnation(entry.incarnation());
        record.set_peer_address(entry.address());
        fleet.store().put("shards", shard, record.SerializeAsString());
        REQUIRE(waitUntil(in(10s), [&] { return !entry.accepted().empty(); }));
        link = entry.accepted().front();
        REQUIRE(waitUntil(in(10s), [&] { return find(&Message::has_hello).has_value(); }));
    }

    std::optional<Message> find(bool (Message::*kind)() const) const
    {
        for (const auto& message : link->received()) {
            if ((message.*kind)())
                return message;
        }
        return std::nullopt;
    }

    // The real entry owns the shard afterwards and waits for its state.
    void offer() const
    {
        Message message;
        message.mutable_take_over()->set_shard(shard);
        message.mutable_take_over()->set_epoch(epoch);
        link->send(message);
        REQUIRE(waitUntil(in(10s), [&] { return find(&Message::has_taken).has_value(); }));
    }

    void handOver(const balsammill::internal::HandedOverJob& job) const { handOver(job, epoch); }

    void handOver(const balsammill::internal::HandedOverJob& job, std::uint64_t ownedEpoch) const
    {
        Message content;
        content.mutable_hand_over()->set_shard(shard);
        content.mutable_hand_over()->set_epoch(ownedEpoch);
        *content.mutable_hand_over()->add_jobs() = job;
        link->send(content);
    }
};

balsammill::internal::HandedOverJob handedOver(
    const balsammill::internal::ShardJob& spec, const std::string& vm, std::uint64_t incarnation, std::uint64_t number)
{
    balsammill::internal::HandedOverJob job;
    job.set_id(spec.id());
    *job.mutable_spec() = spec;
    job.add_steps()->set_task_count(1);
    job.set_origin_vm(vm);
    job.set_origin_incarnation(incarnation);
    job.set_submission(number);
    return job;
}

} // namespace

TEST_CASE("The next owner ends an inherited run whose entry is connected but does not confirm it [node]")
{
    HandOverOfFakeOrigin test("inherited-unconfirmed", longRunMs);
    CHECK(waitUntil(in(10s), [&] { return test.fleet.ownerOf("valencia") == test.next; }));
    CHECK(waitUntil(in(10s), [&] { return test.fleet.activeRuns() == 0; }));
    CHECK(waitUntil(in(10s), [&] { return resultOf(*test.toNext) == Answer::IN_DOUBT; }));
    CHECK_FALSE(test.toNext->isClosed());
    CHECK_EQ(test.fleet.starts(), 1);
}

TEST_CASE("An inherited run whose entry confirms it completes without a restart and is answered [node]")
{
    HandOverOfFakeOrigin test("inherited-confirmed", 3'000);
    CHECK(test.replyToNoticesUntil(FakeEntry::confirmMessage(submission, shard),
        [&] { return resultOf(*test.toNext).has_value() || resultOf(*test.toOwner).has_value(); }));
    CHECK_EQ(resultOf(*test.toNext).value_or(Answer::UNSPECIFIED), Answer::COMPLETED);
    CHECK_EQ(test.fleet.starts(), 1);
}

TEST_CASE("An inherited run ends when the connection that confirmed it closes [node]")
{
    HandOverOfFakeOrigin test("inherited-confirmed-closed", longRunMs);
    auto& spare = test.origin.connect(test.fleet.peerPort(test.next));
    CHECK(test.replyToNoticesUntil(FakeEntry::confirmMessage(submission, shard),
        [&] { return test.fleet.entry(test.owner).waitForExit(in(0s)).has_value(); }));
    CHECK_EQ(test.fleet.activeRuns(), 1);
    test.toNext->close();
    CHECK(waitUntil(in(10s), [&] { return test.fleet.activeRuns() == 0; }));
    CHECK_FALSE(spare.isClosed());
}

TEST_CASE("An inherited run ends when its entry answers the notice of the handover with a cancel [node]")
{
    HandOverOfFakeOrigin test("inherited-cancelled", longRunMs);
    CHECK(test.replyToNoticesUntil(FakeEntry::cancelMessage(submission), [&] { return test.fleet.activeRuns() == 0; }));
    CHECK_FALSE(resultOf(*test.toNext).has_value());
    CHECK_EQ(test.fleet.starts(), 1);
}

TEST_CASE("No run goes on for clients that leave during a handover [node]")
{
    Fleet fleet({ .name = "inherited-leave", .entriesPerDomain = 3, .runMs = longRunMs });
    REQUIRE(fleet.waitUntilReady());
    constexpr int rounds = 3;
    constexpr int clients = 9;
    for (int round = 0; round < rounds; ++round) {
        const auto owner = fleet.ownerOf("valencia");
        REQUIRE_LT(owner, fleet.entryCount());
        const std::size_t origin = owner == 2 ? 1 : 2;
        std::vector<std::unique_ptr<Poco::Net::HTTPClientSession>> sessions;
        for (int i = 1; i <= clients; ++i)
            sessions.push_back(fleet.openSubmission(origin, jobId(round * 100 + i), 1));
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == clients; }));
        fleet.entry(owner).signal(SIGTERM);
        for (auto& session : sessions) {
            session.reset();
            std::this_thread::sleep_for(2ms);
        }
        CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
        CHECK_EQ(fleet.entry(owner).waitForExit(in(20s)).value_or(-1), 0);
        fleet.restart(owner);
        CHECK(waitUntil(in(20s), [&] { return fleet.isReady(0) && fleet.isReady(1) && fleet.isReady(2); }));
    }
    CHECK_EQ(fleet.violations(), "");
}

TEST_CASE("No run goes on for a client that leaves while its entry stands still during a handover [node]")
{
    Fleet fleet(
        { .name = "inherited-leave-stopped", .entriesPerDomain = 3, .upstreamsPerDomain = 1, .runMs = longRunMs });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    const std::size_t origin = owner == 2 ? 1 : 2;
    auto session = fleet.openSubmission(origin, jobId(1), 1);
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    fleet.entry(origin).signal(SIGSTOP);
    session.reset();
    fleet.entry(owner).signal(SIGTERM);
    CHECK(waitUntil(in(10s), [&] { return fleet.ownerOf("valencia") != owner; }));
    // Time for the notice of the handover, but less than the time after which connections to the origin are closed.
    std::this_thread::sleep_for(100ms);
    fleet.entry(origin).signal(SIGCONT);
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
    CHECK_EQ(fleet.violations(), "");
}

TEST_CASE("The next owner starts no inherited job of an entry that was lost before the handover [node]")
{
    Fleet fleet({ .name = "inherited-lost-entry", .entriesPerDomain = 1, .upstreamsPerDomain = 1, .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    FakeFormerOwner former(fleet);
    const auto job = FakeEntry::submitMessage(submission, shard, jobId(1), 300).submit().job();
    former.offer();
    former.handOver(handedOver(job, "lost", 1, submission));
    CHECK_EQ(fleet.submitUntilAnswered(0, jobId(2), 1).status, 200);
    CHECK(
        waitUntil(in(10s), [&] { return fleet.metrics(0).find("balsammill_cancelled_total 1") != std::string::npos; }));
    CHECK_EQ(fleet.starts(), 1);
}

TEST_CASE("The next owner starts no inherited job of its own client that has left [node]")
{
    Fleet fleet({ .name = "inherited-own-client", .entriesPerDomain = 1, .upstreamsPerDomain = 1, .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    FakeFormerOwner former(fleet);
    auto session = fleet.openSubmission(0, jobId(1), 1);
    REQUIRE(waitUntil(in(10s), [&] { return former.find(&Message::has_submit).has_value(); }));
    session.reset();
    REQUIRE(waitUntil(in(10s), [&] { return former.find(&Message::has_cancel).has_value(); }));
    const auto hello = former.find(&Message::has_hello)->hello();
    const auto submit = former.find(&Message::has_submit)->submit();
    former.offer();
    former.handOver(handedOver(submit.job(), hello.vm(), hello.incarnation(), submit.submission()));
    CHECK_EQ(fleet.submitUntilAnswered(0, jobId(2), 1).status, 200);
    CHECK_EQ(fleet.starts(), 1);
}

TEST_CASE("An inherited job that its client has submitted again to the next owner is in doubt for its entry [node]")
{
    Fleet fleet({ .name = "inherited-resubmitted", .entriesPerDomain = 1, .upstreamsPerDomain = 1, .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    FakeFormerOwner former(fleet);
    FakeEntry origin("origin");
    auto& link = origin.connect(fleet.peerPort(0));
    former.offer();
    ClientAnswer answer;
    std::thread client([&] { answer = fleet.submit(0, jobId(1), 1); });
    CHECK(waitUntil(in(10s), [&] { return fleet.metrics(0).find("balsammill_accepted_total") != std::string::npos; }));
    const auto job = FakeEntry::submitMessage(submission, shard, jobId(1), 300).submit().job();
    former.handOver(handedOver(job, origin.vm(), origin.incarnation(), submission));
    client.join();
    CHECK_EQ(answer.body, R"({"state":"completed"})");
    CHECK(waitUntil(in(10s), [&] { return resultOf(link) == Answer::IN_DOUBT; }));
    CHECK_EQ(fleet.starts(), 1);
}

TEST_CASE("A handover of an earlier epoch of the same owner is not taken for the current one [node]")
{
    Fleet fleet({ .name = "inherited-outdated", .entriesPerDomain = 1, .upstreamsPerDomain = 1, .runMs = 300 });
    REQUIRE(fleet.waitUntilReady());
    FakeFormerOwner former(fleet);
    FakeEntry origin("origin");
    auto& link = origin.connect(fleet.peerPort(0));
    const auto isAskedFor = [&](std::uint64_t number) {
        const auto messages = link.received();
        return std::any_of(messages.begin(), messages.end(),
            [number](const Message& each) { return each.has_moved() && each.moved().submission() == number; });
    };
    const auto outdated = FakeEntry::submitMessage(submission, shard, jobId(1), 300).submit().job();
    const auto current = FakeEntry::submitMessage(submission + 1, shard, jobId(2), 300).submit().job();
    former.offer();
    former.handOver(handedOver(outdated, origin.vm(), origin.incarnation(), submission), former.epoch - 1);
    former.handOver(handedOver(current, origin.vm(), origin.incarnation(), submission + 1));
    CHECK(waitUntil(in(10s), [&] { return isAskedFor(submission + 1); }));
    CHECK_FALSE(isAskedFor(submission));
}

TEST_CASE("The close of one connection cancels no submission of a newer connection of the same entry [node]")
{
    Fleet fleet({ .name = "inherited-two-links", .upstreamsPerDomain = 1, .runMs = 1'500 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    FakeEntry origin("origin");
    auto& first = origin.connect(fleet.peerPort(owner));
    auto& second = origin.connect(fleet.peerPort(owner));
    second.send(FakeEntry::submitMessage(submission, shard, jobId(1), 1'500));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    first.close();
    CHECK(waitUntil(in(10s), [&] { return resultOf(second) == Answer::COMPLETED; }));
    CHECK_EQ(fleet.starts(), 1);
}

TEST_CASE("The run of an entry that sends nothing more on an open connection ends [node]")
{
    Fleet fleet({ .name = "inherited-silent", .upstreamsPerDomain = 1, .runMs = longRunMs });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    FakeEntry origin("origin");
    auto& link = origin.connect(fleet.peerPort(owner));
    link.send(FakeEntry::submitMessage(submission, shard, jobId(1), longRunMs));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    link.stopHeartbeats();
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
}

TEST_CASE("The run of an entry that sends but receives nothing more ends [node]")
{
    Fleet fleet({ .name = "inherited-deaf", .upstreamsPerDomain = 1, .runMs = longRunMs });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    FakeEntry origin("origin");
    auto& link = origin.connect(fleet.peerPort(owner));
    link.send(FakeEntry::submitMessage(submission, shard, jobId(1), longRunMs));
    REQUIRE(waitUntil(in(10s), [&] { return fleet.activeRuns() == 1; }));
    link.stopReading();
    CHECK(waitUntil(in(10s), [&] { return fleet.activeRuns() == 0; }));
}

TEST_CASE("An answer arrives on the connection of its submission beside silent connections of the same entry [node]")
{
    Fleet fleet({ .name = "inherited-answer-link", .upstreamsPerDomain = 1 });
    REQUIRE(fleet.waitUntilReady());
    const auto owner = fleet.ownerOf("valencia");
    REQUIRE_LT(owner, fleet.entryCount());
    constexpr std::uint64_t rounds = 4;
    for (std::uint64_t round = 1; round <= rounds; ++round) {
        FakeEntry origin("origin" + std::to_string(round));
        origin.connect(fleet.peerPort(owner)).stopReading();
        auto& link = origin.connect(fleet.peerPort(owner));
        origin.connect(fleet.peerPort(owner)).stopReading();
        link.send(FakeEntry::submitMessage(submission, shard, jobId(static_cast<int>(round)), 50));
        CHECK(waitUntil(in(5s), [&] { return resultOf(link) == Answer::COMPLETED; }));
    }
}
