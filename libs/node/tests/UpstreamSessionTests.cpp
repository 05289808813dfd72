#include "serving/UpstreamSession.h"

#include "balsammill/http/HttpServer.h"
#include "balsammill/http/Timer.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace Balsammill;
using namespace std::chrono_literals;

namespace {

/// An upstream that lists ends until they are acknowledged. A new incarnation has the same address.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(boost::asio::io_context& loop)
        : loop_(loop)
    {
        start(NetworkAddress("127.0.0.1:0"));
        address_ = server_->localAddress();
    }

    const NetworkAddress& address() const { return address_; }

    void restart()
    {
        server_.reset();
        acknowledged.clear();
        ++bornMs_;
        ends_.clear();
        running_.clear();
        start(address_);
    }

    void listEnds(const std::string& rows) { ends_ = rows; }

    /// Starts get no answer from now on.
    void ignoreStarts() { ignoresStarts_ = true; }

    /// last_seen of all report requests to the current incarnation.
    std::vector<std::string> acknowledged;

private:
    void start(const NetworkAddress& address)
    {
        server_ = std::make_unique<HttpServer>(
            loop_, address, [this](const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange) {
                handle(request, exchange);
            });
    }

    static std::string valueOf(const std::string& body, const std::string& name)
    {
        const auto begin = body.find("\"" + name + "\":");
        if (begin == std::string::npos)
            return {};
        const auto from = begin + name.size() + 3;
        return body.substr(from, body.find_first_of(",}", from) - from);
    }

    void handle(const HttpRequest& request, const std::shared_ptr<HttpExchange>& exchange)
    {
        const std::string clock = R"({"clock_ms":)" + std::to_string(++clockMs_);
        if (request.target == "/balsammill/run-start" && ignoresStarts_) {
            unanswered_.push_back(exchange);
            return;
        }
        if (request.target == "/balsammill/run-start") {
            running_ = "[" + valueOf(request.body, "task") + "," + valueOf(request.body, "run") + R"(,"",0,0])";
            exchange->respond({ .status = 200, .fields = {}, .body = clock + "}" });
            return;
        }
        acknowledged.push_back(valueOf(request.body, "last_seen"));
        // The delay keeps a busy session from polling without a pause.
        auto timer = std::make_shared<Timer>(loop_);
        timer->expires_after(5ms);
        timer->async_wait([timer, exchange,
                              body = clock + R"(,"born":)" + std::to_string(bornMs_) + R"(,"running":[)" + running_
                                  + R"(],"ended":[)" + ends_ + "]}"](const boost::system::error_code&) {
            exchange->respond({ .status = 200, .fields = {}, .body = body });
        });
    }

    boost::asio::io_context& loop_;
    std::unique_ptr<HttpServer> server_;
    NetworkAddress address_;
    std::int64_t bornMs_ { 1'000 };
    std::int64_t clockMs_ { 100 };
    std::string ends_;
    std::string running_;
    bool ignoresStarts_ { false };
    std::vector<std::shared_ptr<HttpExchange>> unanswered_;
};

std::string rowsOfEnds(int count)
{
    std::string rows;
    for (int i = 1; i <= count; ++i)
        rows += (i == 1 ? "[" : ",[") + std::to_string(i) + R"(,"00000000000000b1.0.0.)" + std::to_string(i)
            + R"(",1,"done",""])";
    return rows;
}

struct Fixture {
    boost::asio::io_context loop;
    StructuredLog log { { .vm = "front-1" } };
    Metrics metrics;
    NodeContext context { .loop = loop, .settings = {}, .incarnation = Incarnation(1), .log = log, .metrics = metrics };
    ScriptedUpstream upstream { loop };
    Shards::ShardEngine engine;
    std::shared_ptr<UpstreamSession> session;

    Fixture()
    {
        context.settings.maxLease = 1s;
        context.settings.stopGrace = 50ms;
        context.settings.clientResendDelay = 1300ms;
        Shards::UpstreamInfo info;
        info.id = Shards::UpstreamId("i-1");
        info.service = ServiceName("tanim");
        info.address = upstream.address();
        info.capacity = { .milliCores = 32'000, .memoryMb = 131'072, .accelerators = 0 };
        engine.updateUpstream(info, monotonicNow());
        session = std::make_shared<UpstreamSession>(
            context, engine, info, Epoch(1), UpstreamSession::Handlers { .schedulingNeeded = [] {}, .fenced = [] {} });
    }
    ~Fixture() { session->close(); }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto deadline = monotonicNow() + 20s;
        while (!condition() && monotonicNow() < deadline) {
            session->advance(monotonicNow());
            loop.restart();
            loop.run_one_for(10ms);
        }
        return condition();
    }

    /// Starts a task and returns the run's start request.
    void startTask()
    {
        auto spec = std::make_shared<Shards::JobSpec>();
        spec->id = JobId("00000000000000a1");
        spec->service = ServiceName("tanim");
        Shards::StepSpec step;
        step.count = 1;
        step.need = { .milliCores = 1'000, .memoryMb = 64, .accelerators = 0 };
        step.estimate = 10s;
        spec->steps.push_back(step);
        const auto now = monotonicNow();
        const Shards::OriginId origin { 1 };
        engine.confirmOrigin(origin, now);
        engine.submit(Shards::SubmissionId(1), spec, now, TimePoint::max(), origin);
        engine.schedule(now);
        std::size_t starts = 0;
        for (const auto& action : engine.takeActions()) {
            if (const auto* start = std::get_if<Shards::StartTask>(&action)) {
                session->start(*start);
                ++starts;
            }
        }
        REQUIRE_EQ(starts, 1);
    }
};

} // namespace

// Guards against a task that runs again because its end was acknowledged unseen: an upstream that has restarted under
// its id numbers its ends anew, and forgets those up to a number that it is told (review case 2).
TEST_CASE("Ends of an earlier incarnation are not acknowledged to the one that has restarted under its id")
{
    Fixture fixture;
    fixture.upstream.listEnds(R"([1,"00000000000000b1.0.0.0",1,"done",""],[2,"00000000000000b1.0.0.1",1,"done",""])");
    REQUIRE(fixture.runUntil([&] {
        return fixture.engine.isConfirmed(Shards::UpstreamId("i-1")) && !fixture.upstream.acknowledged.empty()
            && fixture.upstream.acknowledged.back() == "2";
    }));
    fixture.upstream.restart();
    fixture.startTask();
    REQUIRE(fixture.runUntil([&] { return fixture.upstream.acknowledged.size() >= 2; }));
    for (const auto& acknowledged : fixture.upstream.acknowledged)
        CHECK_EQ(acknowledged, "0");
}

TEST_CASE("Ends are acknowledged on a connection on which the incarnation that listed them has reported")
{
    Fixture fixture;
    fixture.upstream.restart();
    fixture.upstream.listEnds(R"([1,"00000000000000b1.0.0.0",1,"done",""])");
    CHECK(fixture.runUntil(
        [&] { return !fixture.upstream.acknowledged.empty() && fixture.upstream.acknowledged.back() == "1"; }));
}

// Guards against a second run of a task: its start got no answer, it has run and ended, and its end is not among the
// 500 that the report lists.
TEST_CASE("A start without an answer is not taken for one that was never carried out while reports list 500 ends")
{
    Fixture fixture;
    const Shards::UpstreamId id { "i-1" };
    REQUIRE(fixture.runUntil([&] { return fixture.engine.isConfirmed(id); }));
    fixture.upstream.ignoreStarts();
    fixture.upstream.listEnds(rowsOfEnds(500));
    fixture.startTask();
    REQUIRE(fixture.runUntil([&] {
        return fixture.metrics.exposition().find(R"(starts_total{outcome="unanswered"} 1)") != std::string::npos;
    }));
    const auto reports = fixture.upstream.acknowledged.size();
    REQUIRE(fixture.runUntil(
        [&] { return !fixture.engine.isBusy(id) || fixture.upstream.acknowledged.size() >= reports + 5; }));
    CHECK(fixture.engine.isBusy(id));
    fixture.upstream.listEnds(rowsOfEnds(499));
    CHECK(fixture.runUntil([&] { return !fixture.engine.isBusy(id); }));
}
