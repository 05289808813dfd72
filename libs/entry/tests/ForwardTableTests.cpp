#include "forwarding/ForwardReceiverTable.h"
#include "forwarding/ForwardSenderTable.h"
#include "forwarding/ForwardTargetChoice.h"

#include <doctest/doctest.h>

#include <memory>

using namespace Balsammill;
using namespace Balsammill::Detail;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint start { seconds(1000) };
const TimePoint deadline = start + seconds(10);
const ProcessId receiver { VmName("b"), Incarnation(5) };
const ForwardKey key { { VmName("a"), Incarnation(1) }, RequestId(7) };

Member memberOf(const ProcessId& id, Liveness liveness, std::uint32_t freeSlots = 4, const std::string& domain = "own")
{
    return { .id = id,
        .failureDomain = FailureDomain(domain),
        .peerAddress = {},
        .liveness = liveness,
        .configVersion = {},
        .loads = { { ServiceName("s"), Slots(freeSlots), Slots(8), Duration::zero() } } };
}

MemberView viewOf(std::vector<Member> members)
{
    return { .self = {}, .ownDomain = FailureDomain("own"), .members = std::move(members) };
}

std::shared_ptr<const balsammill::internal::TaskDone> done(balsammill::v1::Verdict verdict, std::size_t bytes = 0)
{
    auto reply = std::make_shared<balsammill::internal::TaskDone>();
    reply->set_verdict(verdict);
    reply->set_answer(std::string(bytes, 'x'));
    return reply;
}

template <typename Decision> bool revokes(ForwardReceiverTable& table, TimePoint now = start)
{
    return std::holds_alternative<Decision>(table.revoke(key, deadline, now));
}

} // namespace

// Guards against reporting not-run because of a message from a process that cannot know whether the task started, such
// as a later incarnation of the receiver.
TEST_CASE("Only the incarnation that a task was sent to can answer it or confirm its revocation")
{
    ForwardSenderTable table({});
    const auto id = table.add(
        receiver, deadline, [](const DispatchResult&) {}, start);
    const ProcessId later { VmName("b"), Incarnation(6) };
    CHECK_FALSE(table.applyRevoked(id, later, false, start).has_value());
    CHECK_FALSE(table.takeAnswered(id, later).has_value());
    CHECK_FALSE(table.applyRevoked(id, receiver, true, start).has_value());
    const auto ended = table.applyRevoked(id, receiver, false, start);
    REQUIRE(ended.has_value());
    CHECK(ended->error.verdict == Verdict::NotRun);
    CHECK(ended->error.code == ErrorCode::Unavailable);
    CHECK_FALSE(table.takeAnswered(id, receiver).has_value());
    CHECK_FALSE(table.take(id).has_value());
}

// Guards against a forwarded task that never completes, and against a flood of revocation requests.
TEST_CASE("Revocation of an overdue task is requested repeatedly, and the task fails after the deadline")
{
    ForwardSenderTable table({});
    table.add(
        receiver, deadline, [](const DispatchResult&) {}, start);
    const auto view = viewOf({ memberOf(receiver, Liveness::Suspect) });
    CHECK(table.tick(view, start + milliseconds(1999)).revocations.empty());
    CHECK(table.tick(view, start + seconds(2)).revocations.size() == 1);
    CHECK(table.tick(view, start + milliseconds(2499)).revocations.empty());
    CHECK(table.tick(view, start + milliseconds(2500)).revocations.size() == 1);
    CHECK(table.tick(view, deadline + milliseconds(999)).ended.empty());
    const auto due = table.tick(view, deadline + seconds(1));
    REQUIRE(due.ended.size() == 1);
    CHECK(due.ended[0].error.verdict == Verdict::MayHaveRun);
    CHECK(due.ended[0].error.code == ErrorCode::DeadlineExceeded);
    CHECK(table.size() == 0);
}

// Guards against a caller that waits until its deadline although the receiver has died. A receiver that may still
// answer is asked to revoke the task first; a replaced one cannot answer.
TEST_CASE("A task fails after the grace period if its receiver is unresponsive, and at once if it was replaced")
{
    ForwardSenderTable table({});
    table.add(
        receiver, deadline, [](const DispatchResult&) {}, start);
    const auto dead = viewOf({ memberOf(receiver, Liveness::Dead) });
    CHECK(table.tick(dead, start).revocations.size() == 1);
    CHECK(table.tick(dead, start + milliseconds(999)).ended.empty());
    auto ended = table.tick(dead, start + seconds(1)).ended;
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].error.verdict == Verdict::MayHaveRun);
    CHECK(ended[0].error.code == ErrorCode::Unavailable);

    table.add(
        receiver, deadline, [](const DispatchResult&) {}, start);
    const auto replaced = viewOf({ memberOf({ VmName("b"), Incarnation(6) }, Liveness::Alive) });
    ended = table.tick(replaced, start).ended;
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].error.verdict == Verdict::MayHaveRun);
}

// Guards against a second start caused by a duplicate ForwardTask, or by one that arrives after its revocation.
TEST_CASE("A task is accepted once, and never after it was revoked")
{
    ForwardReceiverTable table({});
    CHECK(table.accept(key, deadline) == ForwardAcceptance::Submit);
    CHECK(table.accept(key, deadline) == ForwardAcceptance::Duplicate);
    CHECK(table.accept({ { VmName("a"), Incarnation(2) }, RequestId(7) }, deadline) == ForwardAcceptance::Submit);

    ForwardReceiverTable revoked({});
    const auto longDeadline = start + seconds(100);
    CHECK(std::holds_alternative<NotStarted>(revoked.revoke(key, longDeadline, start)));
    revoked.tick(longDeadline - milliseconds(1));
    CHECK(revoked.accept(key, longDeadline) == ForwardAcceptance::Duplicate);
    CHECK(revokes<NotStarted>(revoked));
    revoked.tick(longDeadline);
    CHECK(revoked.size() == 0);
}

// Guards against answering a revocation with started=false for a task that may be running, and against a lost answer
// that is not sent again.
TEST_CASE("The answer to a revocation depends on the state of the task")
{
    ForwardReceiverTable table({});
    table.accept(key, deadline);
    CHECK(revokes<MayHaveStarted>(table));
    table.submitted(key, TaskId(3));
    CHECK(revokes<TryCancel>(table));
    table.finish(key, done(balsammill::v1::VERDICT_RAN), start);
    CHECK(revokes<Answered>(table));
    CHECK(table.accept(key, deadline) == ForwardAcceptance::Duplicate);

    ForwardReceiverTable refused({});
    refused.accept(key, deadline);
    refused.finish(key, done(balsammill::v1::VERDICT_NOT_RUN), start);
    refused.submitted(key, TaskId(3));
    CHECK(revokes<NotStarted>(refused));
}

// Guards against unbounded memory use, and against confirming a revocation that a full table cannot record.
TEST_CASE("The receiver table is bounded, and a full table confirms no revocation")
{
    ForwardReceiverTable table({ .maxTasks = 2, .maxReplyBytes = 1000 });
    const ForwardKey other { key.sender, RequestId(8) };
    table.accept(key, deadline);
    table.accept(other, deadline);
    const ForwardKey third { key.sender, RequestId(9) };
    CHECK(table.accept(third, deadline) == ForwardAcceptance::Full);
    CHECK(std::holds_alternative<MayHaveStarted>(table.revoke(third, deadline, start)));

    table.finish(key, done(balsammill::v1::VERDICT_RAN, 800), start);
    CHECK(revokes<Answered>(table));
    table.finish(other, done(balsammill::v1::VERDICT_RAN, 800), start);
    CHECK(revokes<MayHaveStarted>(table));
    CHECK(std::holds_alternative<Answered>(table.revoke(other, deadline, start)));
    table.tick(start + seconds(59));
    CHECK(table.size() == 2);
    table.tick(start + seconds(60));
    CHECK(table.size() == 0);
}

// Guards against forwarding to members that have no free slots, are leaving or do not respond, and against forwarding
// to another failure domain when that saves no time.
TEST_CASE("Receivers are chosen by free slots, liveness and the waiting time that another failure domain saves")
{
    const ServiceName service("s");
    const ProcessId near { VmName("near"), Incarnation(1) };
    const ProcessId nearFree { VmName("near-free"), Incarnation(1) };
    const ProcessId far { VmName("far"), Incarnation(1) };
    auto leaving = memberOf({ VmName("leaving"), Incarnation(1) }, Liveness::Alive);
    leaving.leaving = true;
    const auto view = viewOf({ memberOf(near, Liveness::Alive, 1), memberOf(nearFree, Liveness::Alive, 2), leaving,
        memberOf({ VmName("suspect"), Incarnation(1) }, Liveness::Suspect),
        memberOf({ VmName("full"), Incarnation(1) }, Liveness::Alive, 0), memberOf(far, Liveness::Alive, 8, "far") });
    const auto ownQueue = [](int waitMs) { return LocalQueueLoad { Slots(8), milliseconds(waitMs) }; };
    ForwardTargetChoice choice({ .otherDomainDelay = milliseconds(4) });
    CHECK(choice.candidates(view, service, Slots(1), ownQueue(4), start) == std::vector { nearFree, near });
    CHECK(choice.candidates(view, service, Slots(1), ownQueue(5), start) == std::vector { nearFree, near, far });
    CHECK(choice.candidates(view, service, Slots(2), ownQueue(4), start) == std::vector { nearFree });
    CHECK(choice.candidates(view, ServiceName("other"), Slots(1), ownQueue(5), start).empty());

    // Until the next load report, slots of forwarded tasks count as in use.
    choice.recordSent(RequestId(1), nearFree.vm, service, Slots(2), start);
    CHECK(choice.candidates(view, service, Slots(1), ownQueue(4), start) == std::vector { near });
    CHECK(choice.candidates(view, service, Slots(1), ownQueue(4), start + milliseconds(250)).size() == 2);
    choice.recordSent(RequestId(2), nearFree.vm, service, Slots(2), start + milliseconds(250));
    choice.recordEnded(RequestId(2));
    CHECK(choice.candidates(view, service, Slots(1), ownQueue(4), start + milliseconds(250)).size() == 2);
}

// Guards against a task that is refused because its entry owns no upstream, although other entries own some that are
// merely busy.
TEST_CASE("An entry without upstreams forwards to busy members, shortest expected wait first")
{
    const ServiceName service("s");
    auto longWait = memberOf({ VmName("long"), Incarnation(1) }, Liveness::Alive, 0);
    auto shortWait = memberOf({ VmName("short"), Incarnation(1) }, Liveness::Alive, 0);
    auto withoutUpstreams = memberOf({ VmName("none"), Incarnation(1) }, Liveness::Alive, 0);
    longWait.loads.front().totalSlots = Slots(8);
    longWait.loads.front().expectedWait = milliseconds(50);
    shortWait.loads.front().totalSlots = Slots(8);
    shortWait.loads.front().expectedWait = milliseconds(10);
    withoutUpstreams.loads.front().totalSlots = Slots(0);
    const auto view = viewOf({ longWait, shortWait, withoutUpstreams });
    ForwardTargetChoice choice({ .otherDomainDelay = milliseconds(4) });
    CHECK(choice.candidates(view, service, Slots(1), LocalQueueLoad { Slots(0), {} }, start)
        == std::vector { shortWait.id, longWait.id });
    CHECK(choice.candidates(view, service, Slots(1), LocalQueueLoad { Slots(8), milliseconds(90) }, start).empty());
}
