#include "balsammill/policy/Scheduler.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <stdexcept>

using namespace Balsammill;

namespace {

constexpr std::uint32_t slotsPerUpstream = 8;
constexpr Duration runTime = std::chrono::milliseconds(100);

/// Parameters of one benchmark.
struct BenchmarkParameters {
    std::uint32_t upstreams;
    std::uint32_t methods;
    std::uint32_t clientAccounts;
    std::uint32_t queueLength;
};

/// A scheduler with all slots busy and a queue of constant length. Each step submits one task, finishes the task that
/// has run longest, and starts the next one.
class SteadyState {
public:
    SteadyState(QueueOrder order, const BenchmarkParameters& parameters)
        : scheduler_({ .order = order, .maxQueuedTasks = 10'000'000 })
        , step_(runTime / (parameters.upstreams * slotsPerUpstream))
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t i = 0; i < parameters.upstreams; ++i)
            specs.push_back({ .vm = VmName("upstream-" + std::to_string(i)), .slots = Slots(slotsPerUpstream) });
        scheduler_.setUpstreams(specs, now_);
        for (std::uint32_t i = 0; i < parameters.methods; ++i)
            methods_.emplace_back("balsammill.bench.Service/Method" + std::to_string(i));
        for (std::uint32_t i = 0; i < parameters.clientAccounts; ++i)
            clientAccounts_.emplace_back("team-" + std::to_string(i));
        for (std::uint32_t i = 0; i < parameters.upstreams * slotsPerUpstream + parameters.queueLength; ++i) {
            submit();
            startAll();
        }
    }

    void step()
    {
        now_ += step_;
        submit();
        scheduler_.recordCompletion(running_.front(), TaskOutcome::Succeeded, now_);
        running_.pop_front();
        startAll();
    }

    std::uint32_t queued() const { return scheduler_.load(now_).queuedTasks; }

private:
    void submit()
    {
        const auto number = ++lastTask_;
        const TaskSpec spec {
            .id = TaskId(number),
            .method = methods_[number % methods_.size()],
            .clientAccount = clientAccounts_[number / methods_.size() % clientAccounts_.size()],
            .urgencyWeight = 2 + static_cast<std::uint32_t>(number % 3),
            .declaredRunTime = runTime,
            .deadline = now_ + std::chrono::hours(1),
        };
        if (std::holds_alternative<Refused>(scheduler_.submit(spec, now_)))
            throw std::runtime_error("the scheduler refused a task; the benchmark needs every task to be queued");
    }

    void startAll()
    {
        while (const auto assignment = scheduler_.nextAssignment(now_))
            running_.push_back(assignment->task);
    }

    Scheduler scheduler_;
    Duration step_;
    TimePoint now_ { std::chrono::hours(1) };
    std::vector<MethodName> methods_;
    std::vector<ClientAccountName> clientAccounts_;
    std::deque<TaskId> running_;
    std::uint64_t lastTask_ { 0 };
};

void runSteadyState(benchmark::State& state, QueueOrder order)
{
    const BenchmarkParameters parameters { static_cast<std::uint32_t>(state.range(0)),
        static_cast<std::uint32_t>(state.range(1)), static_cast<std::uint32_t>(state.range(2)),
        static_cast<std::uint32_t>(state.range(3)) };
    SteadyState steady(order, parameters);
    for (auto _ : state)
        steady.step();
    if (steady.queued() != parameters.queueLength)
        state.SkipWithError("the length of the queue has changed");
}

void perTaskFair(benchmark::State& state) { runSteadyState(state, QueueOrder::Fair); }
void perTaskFirstComeFirstServed(benchmark::State& state) { runSteadyState(state, QueueOrder::FirstComeFirstServed); }

/// Varies one parameter at a time around 50 upstreams, 3 methods, 4 client accounts and 1000 queued tasks.
void varyParameters(benchmark::internal::Benchmark* benchmark)
{
    benchmark->ArgNames({ "upstreams", "methods", "teams", "queue" });
    benchmark->Args({ 50, 3, 4, 1000 });
    for (int upstreams : { 1, 17, 610 })
        benchmark->Args({ upstreams, 3, 4, 1000 });
    for (int methods : { 1, 30, 300 })
        benchmark->Args({ 50, methods, 4, 1000 });
    for (int clientAccounts : { 1, 21, 210 })
        benchmark->Args({ 50, 3, clientAccounts, 1000 });
    for (int queue : { 10, 10'000, 100'000, 1'000'000 })
        benchmark->Args({ 50, 3, 4, queue });
}

BENCHMARK(perTaskFair)->Apply(varyParameters);
BENCHMARK(perTaskFirstComeFirstServed)->Apply(varyParameters);

} // namespace
