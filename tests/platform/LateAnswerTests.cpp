#include "FakeEntry.h"
#include "Fleet.h"

#include <doctest/doctest.h>

#include <future>
#include <map>

using namespace PlatformTest;
using IntegrationTest::in;
using IntegrationTest::waitUntil;
using namespace std::chrono_literals;
using Answer = balsammill::internal::ShardJobAnswer;

namespace {

constexpr auto fakeShard = "lantapan/0";
constexpr std::size_t realEntry = 0;
constexpr std::size_t lostEntry = 1;
constexpr int jobs = 8;

/// Numbers of the submissions that a connection has received, by job.
std::map<std::string, std::uint64_t> submissionsOn(const FakeEntryLink& link)
{
    std::map<std::string, std::uint64_t> submissions;
    for (const auto& message : link.received()) {
        if (message.has_submit())
            submissions[message.submit().job().id()] = message.submit().submission();
    }
    return submissions;
}

void answer(FakeEntryLink& link, std::uint64_t submission, Answer::Result result)
{
    FakeEntry::Message message;
    message.mutable_answer()->set_submission(submission);
    message.mutable_answer()->set_result(result);
    link.send(message);
}

} // namespace

// Guards against a client that is told that its job has not run by the answer to an earlier attempt, although the job
// has been stored since (review case 3).
TEST_CASE("The refusal of an earlier attempt does not answer a durable job that is accepted afterwards [node]")
{
    Fleet fleet({ .name = "node-late-refusal", .domains = { "valencia", "lantapan" }, .entriesPerDomain = 1 });
    REQUIRE(fleet.waitUntilReady());
    fleet.entry(lostEntry).kill();
    FakeEntry owner("fake");
    balsammill::internal::ShardOwnerRecord record;
    REQUIRE(record.ParseFromString(fleet.store().valueOf("shards", fakeShard)));
    record.set_epoch(record.epoch() + 1);
    record.set_vm(owner.vm());
    record.set_incarnation(owner.incarnation());
    record.set_peer_address(owner.address());
    fleet.store().put("shards", fakeShard, record.SerializeAsString());
    REQUIRE(waitUntil(in(10s), [&] { return !owner.accepted().empty(); }));
    const auto first = owner.accepted().front();

    std::vector<std::future<int>> statuses;
    for (int i = 1; i <= jobs; ++i)
        statuses.push_back(
            std::async(std::launch::async, [&fleet, i] { return fleet.submitDurable(realEntry, jobId(i), 1).status; }));
    // Some of the jobs have their home in the other domain.
    REQUIRE(waitUntil(in(10s), [&] { return !submissionsOn(*first).empty(); }));
    std::this_thread::sleep_for(200ms);
    const auto firstAttempts = submissionsOn(*first);
    first->close();
    REQUIRE(waitUntil(in(10s), [&] {
        return owner.accepted().size() > 1 && submissionsOn(*owner.accepted().back()).size() == firstAttempts.size();
    }));
    const auto second = owner.accepted().back();
    for (const auto& [job, submission] : firstAttempts)
        answer(*second, submission, Answer::REFUSED);
    for (const auto& [job, submission] : submissionsOn(*second))
        answer(*second, submission, Answer::ACCEPTED);
    for (auto& status : statuses)
        CHECK_EQ(status.get(), 200);
}
