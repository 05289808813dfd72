#include "balsammill/entry/TaskForwarding.h"

#include "FakeUpstream.h"
#include "balsammill/internal/peer.pb.h"
#include "balsammill/schema/Schema.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using namespace Balsammill::Testing;
using balsammill::internal::PeerMessage;

namespace {

const ProcessId idOfA { VmName("a"), Incarnation(1) };
const ProcessId idOfB { VmName("b"), Incarnation(1) };

/// One entry process. Its messages are passed directly to the handler of the other node, unless they are held back.
struct Node {
    Node(const ProcessId& self, const ProcessId& other)
        : id(self)
        , forwarding(
              { .self = self, .send = [this](const VmName&, const PeerMessage& message) { return send(message); } },
              dispatcher, config, members)
    {
        MemberView view;
        view.self = self;
        view.ownDomain = FailureDomain("own");
        view.members.push_back({ .id = other,
            .failureDomain = view.ownDomain,
            .peerAddress = {},
            .liveness = Liveness::Alive,
            .configVersion = {},
            .loads = { { testService, Slots(8), Slots(8), Duration::zero() } } });
        members.store(std::make_shared<const MemberView>(view));
        config.store(std::make_shared<const ActiveConfig>(ActiveConfig { nullptr,
            Schema::compile({ { "t.proto",
                "syntax = \"proto3\"; package test; message M {} service Service { rpc Call(M) returns (M); }" } }),
            ConfigVersion(1) }));
        dispatcher.setForwarder([this](const DispatchTask& task, const DispatchCompletion& completion) {
            return forwarding.forward(task, completion);
        });
        dispatcher.start();
    }
    ~Node() { dispatcher.stop(); }
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    bool send(const PeerMessage& message)
    {
        {
            std::lock_guard lock(mutex);
            if (unreachable)
                return false;
            if (message.body_case() == heldBack) {
                held.push_back(message);
                return true;
            }
        }
        peer->forwarding.handlePeerMessage(id, message);
        return true;
    }

    /// Stores all further messages of one kind instead of delivering them; PeerMessage::BODY_NOT_SET ends this.
    void holdBack(PeerMessage::BodyCase kind)
    {
        std::lock_guard lock(mutex);
        heldBack = kind;
    }

    ProcessId id;
    Node* peer { nullptr };
    std::mutex mutex;
    bool unreachable { false };
    PeerMessage::BodyCase heldBack { PeerMessage::BODY_NOT_SET };
    std::vector<PeerMessage> held;
    Dispatcher dispatcher { DispatcherOptions {} };
    RcuCell<ActiveConfig> config;
    RcuCell<MemberView> members;
    TaskForwarding forwarding;
};

struct Fixture {
    Fixture()
    {
        a.peer = &b;
        b.peer = &a;
        b.dispatcher.setUpstreams(testService, { upstream.reachable(1) });
    }
    ~Fixture() { upstream.release(); }

    bool forward(const std::string& name) { return a.forwarding.forward(callNamed(name), results.collect(name)); }
    bool waitForCompletion(const std::string& name) const
    {
        const auto limit = inSeconds(20);
        while (results.completionsOf(name) == 0 && monotonicNow() < limit)
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        return results.completionsOf(name) == 1;
    }
    /// Simulates the expiry of the sender's answer timeout.
    void revoke() { a.forwarding.tick(monotonicNow() + std::chrono::seconds(3)); }

    FakeUpstream upstream { "u" };
    Results results;
    Node a { idOfA, idOfB };
    Node b { idOfB, idOfA };
};

} // namespace

// Guards against a forwarded task that is lost, started twice or completed twice when the dispatcher forwards it.
TEST_CASE("A task without a free local slot runs exactly once on the other entry")
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        const auto name = "t" + std::to_string(i);
        fixture.a.dispatcher.submit(callNamed(name), fixture.results.collect(name));
        REQUIRE(fixture.waitForCompletion(name));
        CHECK(fixture.results.answerOf(name) == "answer to " + name);
        CHECK(fixture.upstream.startsOf(name) == 1);
    }
    CHECK(fixture.a.forwarding.pendingForwards() == 0);
}

// Guards against calling the completion of a task that was not forwarded and still belongs to the dispatcher.
TEST_CASE("forward() returns false for a task that cannot be sent")
{
    Fixture fixture;
    fixture.a.unreachable = true;
    CHECK_FALSE(fixture.forward("t"));
    CHECK(fixture.results.completionsOf("t") == 0);
    CHECK(fixture.a.forwarding.pendingForwards() == 0);
}

// Guards against starting a task that was already reported as not-run (P4).
TEST_CASE("A ForwardTask that arrives after its revocation is dropped, and so is a duplicate")
{
    Fixture fixture;
    fixture.a.holdBack(PeerMessage::kForwardTask);
    REQUIRE(fixture.forward("late"));
    fixture.revoke();
    REQUIRE(fixture.waitForCompletion("late"));
    CHECK(fixture.results.errorOf("late").verdict == Verdict::NotRun);
    fixture.b.forwarding.handlePeerMessage(idOfA, fixture.a.held.at(0));

    REQUIRE(fixture.forward("twice"));
    fixture.b.forwarding.handlePeerMessage(idOfA, fixture.a.held.at(1));
    fixture.b.forwarding.handlePeerMessage(idOfA, fixture.a.held.at(1));
    REQUIRE(fixture.waitForCompletion("twice"));
    REQUIRE(fixture.b.dispatcher.waitUntilIdle(inSeconds(20)));
    CHECK(fixture.upstream.startsOf("late") == 0);
    CHECK(fixture.upstream.startsOf("twice") == 1);
}

// Guards against an answer that is lost permanently, and against running the task again because of the loss (P5).
TEST_CASE("A lost answer is sent again when the sender asks to revoke the task")
{
    Fixture fixture;
    fixture.b.holdBack(PeerMessage::kTaskDone);
    REQUIRE(fixture.forward("t"));
    REQUIRE(fixture.b.dispatcher.waitUntilIdle(inSeconds(20)));
    CHECK(fixture.results.completionsOf("t") == 0);
    fixture.b.holdBack(PeerMessage::BODY_NOT_SET);
    fixture.revoke();
    REQUIRE(fixture.waitForCompletion("t"));
    CHECK(fixture.results.answerOf("t") == "answer to t");
    CHECK(fixture.upstream.startsOf("t") == 1);
}

// Guards against reporting a running task as not-run, and against starting a queued task after it was revoked.
TEST_CASE("Revocation does not affect a running task and cancels a queued one")
{
    Fixture fixture;
    fixture.upstream.hold();
    REQUIRE(fixture.forward("running"));
    REQUIRE(fixture.upstream.waitUntilRunning(1));
    REQUIRE(fixture.forward("queued"));
    fixture.revoke();
    REQUIRE(fixture.waitForCompletion("queued"));
    CHECK(fixture.results.errorOf("queued").verdict == Verdict::NotRun);
    CHECK(fixture.results.errorOf("queued").code == ErrorCode::Unavailable);
    CHECK(fixture.results.completionsOf("running") == 0);
    fixture.upstream.release();
    REQUIRE(fixture.waitForCompletion("running"));
    CHECK(fixture.results.answerOf("running") == "answer to running");
    CHECK(fixture.upstream.startsOf("queued") == 0);
}

// Guards against a restarted receiver that starts a task sent to its previous incarnation, or confirms the revocation
// of such a task as not started.
TEST_CASE("A restarted receiver neither starts nor confirms the revocation of a task sent to its previous incarnation")
{
    Fixture fixture;
    fixture.a.holdBack(PeerMessage::kForwardTask);
    REQUIRE(fixture.forward("t"));
    const ProcessId later { VmName("b"), Incarnation(2) };
    Node restarted(later, idOfA);
    restarted.peer = &fixture.a;
    fixture.a.peer = &restarted;
    restarted.dispatcher.setUpstreams(testService, { fixture.upstream.reachable(1) });
    restarted.forwarding.handlePeerMessage(idOfA, fixture.a.held.at(0));
    fixture.revoke();
    CHECK(fixture.results.completionsOf("t") == 0);
    CHECK(fixture.upstream.starts() == 0);

    auto view = *fixture.a.members.load();
    view.members[0].id = later;
    fixture.a.members.store(std::make_shared<const MemberView>(view));
    fixture.revoke();
    REQUIRE(fixture.waitForCompletion("t"));
    CHECK(fixture.results.errorOf("t").verdict == Verdict::MayHaveRun);
}
