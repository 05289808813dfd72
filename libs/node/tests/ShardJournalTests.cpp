#include "OperatorStore.h"
#include "durable/JournalBatchEncoder.h"
#include "durable/ShardJournal.h"

#include <doctest/doctest.h>

#include <future>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

/// Journals of one shard for several owners, on a separate event loop, against the stand-in store.
struct Fixture {
    Standin::LoopThread storeLoop;
    Standin::OperatorStore operatorStore { storeLoop };
    Standin::LoopThread ownLoop;
    std::unique_ptr<Platform::Store> store;

    Fixture()
    {
        ownLoop.run([this] {
            store = std::make_unique<Platform::Store>(
                ownLoop.context(), Platform::StoreOptions { .address = NetworkAddress(operatorStore.address()) });
        });
    }
    ~Fixture()
    {
        ownLoop.run([this] { store.reset(); });
    }

    std::shared_ptr<ShardJournal> journal(std::uint64_t epoch, double linkMbps = 0, std::size_t stateRowBytes = 49'152)
    {
        return ownLoop.run([&] {
            return std::make_shared<ShardJournal>(ownLoop.context(), *store, Shards::ShardName("valencia/0"),
                Epoch(epoch), ShardJournal::Options { .stateRowBytes = stateRowBytes, .linkMbps = linkMbps });
        });
    }
    void drop(std::shared_ptr<ShardJournal>& journal)
    {
        ownLoop.run([&] { journal.reset(); });
    }

    std::optional<std::vector<ShardJournal::Row>> open(ShardJournal& journal)
    {
        std::promise<std::optional<std::vector<ShardJournal::Row>>> opened;
        ownLoop.run([&] { journal.open([&](const auto& rows) { opened.set_value(rows); }); });
        return opened.get_future().get();
    }

    ShardJournal::Outcome write(ShardJournal& journal, const ShardJournal::Write& write)
    {
        std::promise<ShardJournal::Outcome> written;
        ownLoop.run([&] { journal.write(write, [&](auto outcome) { written.set_value(outcome); }); });
        return written.get_future().get();
    }
};

} // namespace

// Guards against rows that are lost when the owner changes.
TEST_CASE("A later owner reads what an earlier one wrote")
{
    Fixture fixture;
    auto first = fixture.journal(1);
    REQUIRE(fixture.open(*first).has_value());
    CHECK(fixture.write(*first, { .puts = { { "a", "1" }, { "b", "2" } } }) == ShardJournal::Outcome::Written);
    CHECK(fixture.write(*first, { .puts = { { "a", "3" } }, .removals = { "b" } }) == ShardJournal::Outcome::Written);
    auto second = fixture.journal(2);
    const auto rows = fixture.open(*second);
    REQUIRE(rows.has_value());
    REQUIRE_EQ(rows->size(), 1);
    CHECK_EQ(rows->front().key, "a");
    CHECK_EQ(rows->front().value, "3");
    fixture.drop(first);
    fixture.drop(second);
}

// Guards against a former owner that changes rows after its successor has read them.
TEST_CASE("Once a later owner has opened the journal an earlier one can neither write nor open it")
{
    Fixture fixture;
    auto first = fixture.journal(1);
    REQUIRE(fixture.open(*first).has_value());
    auto second = fixture.journal(2);
    REQUIRE(fixture.open(*second).has_value());
    CHECK(fixture.write(*first, { .puts = { { "a", "late" } } }) == ShardJournal::Outcome::Fenced);
    CHECK(fixture.write(*second, { .puts = { { "a", "2" } } }) == ShardJournal::Outcome::Written);
    CHECK_FALSE(fixture.open(*first).has_value());
    fixture.drop(first);
    fixture.drop(second);
}

// Guards against a write that takes effect twice or is reported as failed because its answer was lost.
TEST_CASE("A write whose answer is lost is repeated and takes effect once")
{
    Fixture fixture;
    auto journal = fixture.journal(1);
    REQUIRE(fixture.open(*journal).has_value());
    for (int i = 0; i < 3; ++i) {
        fixture.operatorStore.dropNextAnswers(1);
        CHECK(fixture.write(*journal, { .puts = { { "a", std::to_string(i) } } }) == ShardJournal::Outcome::Written);
    }
    CHECK(fixture.write(*journal, { .puts = { { "a", "last" } } }) == ShardJournal::Outcome::Written);
    fixture.drop(journal);
    auto next = fixture.journal(2);
    const auto rows = fixture.open(*next);
    REQUIRE(rows.has_value());
    REQUIRE_EQ(rows->size(), 1);
    CHECK_EQ(rows->front().value, "last");
    fixture.drop(next);
}

// Guards against jobs that are reported as stored during a store outage, and against an owner that stops retrying
// during one.
TEST_CASE("During a store outage writes are refused, and opening a journal waits for the store to recover")
{
    Fixture fixture;
    auto journal = fixture.journal(1);
    REQUIRE(fixture.open(*journal).has_value());
    fixture.operatorStore.setOutage(true);
    CHECK(fixture.write(*journal, { .puts = { { "a", "1" } } }) == ShardJournal::Outcome::Refused);
    std::promise<bool> opened;
    auto next = fixture.journal(2);
    fixture.ownLoop.run([&] { next->open([&](const auto& rows) { opened.set_value(rows.has_value()); }); });
    auto result = opened.get_future();
    CHECK(result.wait_for(100ms) == std::future_status::timeout);
    fixture.operatorStore.setOutage(false);
    CHECK(result.get());
    fixture.drop(journal);
    fixture.drop(next);
}

// Guards against a write that is repeated without an end although the store rejects it because of its content, also
// when an earlier attempt had no answer.
TEST_CASE("A write that the store rejects ends, and later writes take effect")
{
    Fixture fixture;
    auto journal = fixture.journal(1);
    REQUIRE(fixture.open(*journal).has_value());
    for (const bool answerLost : { false, true }) {
        CAPTURE(answerLost);
        fixture.operatorStore.setFaults({ .rejectedKey = "bad" });
        // The answer to the rejection itself is lost, so that the write is in doubt before it is repeated.
        fixture.operatorStore.dropNextAnswers(answerLost ? 1 : 0);
        CHECK(fixture.write(*journal, { .puts = { { "bad", "1" }, { "a", "1" } } }) == ShardJournal::Outcome::Rejected);
        CHECK(fixture.write(*journal, { .puts = { { "a", "2" } } }) == ShardJournal::Outcome::Written);
    }
    fixture.drop(journal);
}

// Guards against a batch beyond the limits of a transaction, and one that occupies a slow link for longer than the
// store's answer may take, so that it is repeated without an end.
TEST_CASE("A batch stays within a transaction and within what the link transfers in a short time")
{
    Fixture fixture;
    for (const double linkMbps : { 0.0, 2.0, 1'000.0 }) {
        CAPTURE(linkMbps);
        auto journal = fixture.journal(1, linkMbps);
        REQUIRE(fixture.open(*journal).has_value());
        JournalBatchEncoder encoder(*journal);
        std::size_t changes = 0;
        const auto jobOf = [](std::size_t number) {
            auto spec = std::make_shared<Shards::JobSpec>();
            spec->id = JobId("00000000000000" + std::to_string(10 + number));
            spec->payload = std::string(30'000, '\xff');
            return Shards::JournalChange { .job = spec->id, .newSpec = spec };
        };
        while (changes < 40 && encoder.add(jobOf(changes)))
            ++changes;
        CHECK_GT(changes, 0);
        CHECK_LT(changes, 40);
        const auto write = encoder.take();
        CHECK_EQ(write.puts.size(), changes);
        if (linkMbps == 2.0)
            CHECK_LE(fixture.ownLoop.run([&] { return journal->encodedBytes(write); }), 62'500);
        CHECK(fixture.write(*journal, write) == ShardJournal::Outcome::Written);
        CHECK_EQ(fixture.operatorStore.rejectedWrites(), 0);
        fixture.drop(journal);
    }
}

// Guards against an owner that reads a large journal from the beginning after each failed page and never gets to its
// end.
TEST_CASE("A journal of several pages is opened although every second read is refused")
{
    Fixture fixture;
    auto journal = fixture.journal(1);
    REQUIRE(fixture.open(*journal).has_value());
    constexpr int rows = 1'700;
    for (int first = 0; first < rows; first += 85) {
        ShardJournal::Write write;
        for (int i = first; i < first + 85; ++i)
            write.puts.push_back({ "row" + std::to_string(10'000 + i), std::to_string(i) });
        REQUIRE(fixture.write(*journal, write) == ShardJournal::Outcome::Written);
    }
    fixture.operatorStore.setFaults({ .refuseEveryNthRead = 2 });
    auto next = fixture.journal(2);
    std::promise<std::size_t> opened;
    fixture.ownLoop.run([&] { next->open([&](const auto& read) { opened.set_value(read ? read->size() : 0); }); });
    auto result = opened.get_future();
    const bool answered = result.wait_for(20s) == std::future_status::ready;
    CHECK(answered);
    if (answered)
        CHECK_EQ(result.get(), rows);
    fixture.drop(next);
    fixture.drop(journal);
}

// Guards against an owner that does not know of runs that the former one has started, because that one did not keep to
// the same limit of open occurrences: it is of a former version, or has another setting.
TEST_CASE("A journal tells its next owner whether open occurrences were limited as it limits them itself")
{
    Fixture fixture;
    auto first = fixture.journal(1);
    REQUIRE(fixture.open(*first).has_value());
    CHECK(first->withinOpenLimits());
    auto second = fixture.journal(2);
    REQUIRE(fixture.open(*second).has_value());
    CHECK(second->withinOpenLimits());
    CHECK(fixture.write(*second, { .puts = { { "a", "1" } }, .withinOpenLimits = false })
        == ShardJournal::Outcome::Written);
    // It stays so across owners until a write says otherwise.
    for (const std::uint64_t epoch : { 3U, 4U }) {
        auto next = fixture.journal(epoch);
        REQUIRE(fixture.open(*next).has_value());
        CHECK_FALSE(next->withinOpenLimits());
        if (epoch == 4U)
            CHECK(fixture.write(*next, {}) == ShardJournal::Outcome::Written);
        fixture.drop(next);
    }
    auto kept = fixture.journal(5);
    REQUIRE(fixture.open(*kept).has_value());
    CHECK(kept->withinOpenLimits());
    auto otherSetting = fixture.journal(6, 0, 4'096);
    REQUIRE(fixture.open(*otherSetting).has_value());
    CHECK_FALSE(otherSetting->withinOpenLimits());
    for (auto* each : { &first, &second, &kept, &otherSetting })
        fixture.drop(*each);
}

// Guards against run numbers that two owners in a row both use: neither the starts nor the ends of the first one need
// to be in the store (review case 11).
TEST_CASE("Each opening of a journal reserves run numbers above those of all earlier owners")
{
    constexpr auto block = ShardJournal::runNumberBlock;
    Fixture fixture;
    std::uint64_t last = 0;
    // The epoch of a later owner is higher; a process may open the journal twice in one epoch.
    for (const std::uint64_t epoch : { 1U, 2U, 2U, 2U, 9U, 10U }) {
        CAPTURE(epoch);
        auto journal = fixture.journal(epoch);
        // The answer to the reservation is lost, so the journal is read again.
        if (epoch == 10U)
            fixture.operatorStore.dropNextAnswers(2);
        REQUIRE(fixture.open(*journal).has_value());
        CHECK(journal->earlierRunsReserved());
        CHECK_GE(journal->runNumberFloor().value, last);
        CHECK_EQ(journal->lastReservedRun().value, journal->runNumberFloor().value + block);
        last = journal->lastReservedRun().value;
        if (epoch == 9U) {
            CHECK(fixture.write(*journal, { .lastReservedRun = Shards::RunNumber(last + 5'000) })
                == ShardJournal::Outcome::Written);
            last += 5'000;
            CHECK_EQ(journal->lastReservedRun().value, last);
            // A later write without a reservation keeps it.
            CHECK(fixture.write(*journal, { .puts = { { "a", "1" } } }) == ShardJournal::Outcome::Written);
            CHECK_EQ(journal->lastReservedRun().value, last);
        }
        fixture.drop(journal);
    }
}

// Guards against the use of numbers whose reservation has not reached the store.
TEST_CASE("Run numbers count as reserved only once the store has confirmed it")
{
    Fixture fixture;
    auto first = fixture.journal(1);
    REQUIRE(fixture.open(*first).has_value());
    const auto reserved = first->lastReservedRun();
    const ShardJournal::Write more { .lastReservedRun = Shards::RunNumber(reserved.value + 1) };
    fixture.operatorStore.setOutage(true);
    CHECK(fixture.write(*first, more) == ShardJournal::Outcome::Refused);
    CHECK_EQ(first->lastReservedRun(), reserved);
    fixture.operatorStore.setOutage(false);
    auto second = fixture.journal(2);
    REQUIRE(fixture.open(*second).has_value());
    CHECK(fixture.write(*first, more) == ShardJournal::Outcome::Fenced);
    CHECK_EQ(first->lastReservedRun(), reserved);
    CHECK_GE(second->runNumberFloor(), reserved);
    fixture.drop(first);
    fixture.drop(second);
}

// Guards against run numbers of earlier owners that are used again after an owner of a version that reserves none: its
// writes remove the reservation from the fence row.
TEST_CASE("Run numbers are reserved above the blocks of all earlier epochs if the fence row has no reservation")
{
    Fixture fixture;
    auto first = fixture.journal(1);
    REQUIRE(fixture.open(*first).has_value());
    const auto reserved = first->lastReservedRun();
    // The row of the first owner is replaced by that of a former version in epoch 2.
    std::promise<Platform::RowsResult> read;
    fixture.ownLoop.run([&] {
        fixture.store->read({ .table = "jobs", .part = "valencia/0", .from = "!" }, monotonicNow() + 1s,
            [&](const auto& result) { read.set_value(result); });
    });
    const auto rows = read.get_future().get().rows;
    REQUIRE_EQ(rows.size(), 1);
    auto former = rows.front();
    former.value = "\x08\x02";
    std::promise<Platform::StoreStatus> written;
    fixture.ownLoop.run([&] {
        fixture.store->write({ .conditions = { rows.front() }, .puts = { former } }, monotonicNow() + 1s,
            [&](const auto& result) { written.set_value(result.status); });
    });
    REQUIRE(written.get_future().get() == Platform::StoreStatus::Ok);
    auto third = fixture.journal(3);
    REQUIRE(fixture.open(*third).has_value());
    CHECK_FALSE(third->earlierRunsReserved());
    CHECK_GE(third->runNumberFloor(), reserved);
    fixture.drop(first);
    fixture.drop(third);
}
