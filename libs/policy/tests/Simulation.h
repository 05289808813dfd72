#pragma once

#include "balsammill/policy/Scheduler.h"

#include <functional>
#include <queue>
#include <random>
#include <unordered_map>

namespace Balsammill::Testing {

inline TimePoint at(Duration sinceStart) { return TimePoint(std::chrono::hours(1)) + sinceStart; }

/// Tasks of one kind, with random arrivals at a mean rate.
struct Workload {
    MethodName method;
    ClientAccountName clientAccount { "default" };
    std::uint32_t urgencyWeight { 1 };
    double tasksPerSecond { 0 };
    Duration meanRunTime { std::chrono::milliseconds(100) };
    Duration declaredRunTime { std::chrono::milliseconds(100) };
    Duration timeout { std::chrono::seconds(2) };
    Slots slots { 1 };
};

struct WorkloadResult {
    std::size_t submitted { 0 };
    std::size_t refused { 0 };
    std::size_t expired { 0 };
    std::size_t completedInTime { 0 };
    std::size_t failed { 0 };
    /// Slot time of completed tasks in microseconds.
    std::int64_t slotMicros { 0 };
    /// Response time divided by run time, for each completed task.
    std::vector<double> slowdowns;

    double completedShare() const { return submitted ? static_cast<double>(completedInTime) / submitted : 1; }
    double slowdownQuantile(double quantile)
    {
        if (slowdowns.empty())
            return 0;
        std::sort(slowdowns.begin(), slowdowns.end());
        return slowdowns[static_cast<std::size_t>(quantile * static_cast<double>(slowdowns.size() - 1))];
    }
};

/// Drives a scheduler in simulated time, with random arrivals and run times between 0.5 and 1.5 times the mean.
class Simulation {
public:
    /// Returns the outcome of a task on an upstream; by default every task succeeds.
    using OutcomeOf = std::function<TaskOutcome(const VmName&)>;

    Simulation(SchedulerOptions options, std::uint32_t upstreams, std::uint32_t slotsEach, std::uint64_t seed)
        : scheduler(std::move(options))
        , random_(seed)
    {
        std::vector<UpstreamSpec> specs;
        for (std::uint32_t i = 0; i < upstreams; ++i)
            specs.push_back({ .vm = VmName("u" + std::to_string(i)), .slots = Slots(slotsEach) });
        scheduler.setUpstreams(specs, at(Duration::zero()));
    }

    std::vector<WorkloadResult> run(const std::vector<Workload>& workloads, Duration duration)
    {
        results_.resize(workloads.size());
        for (std::size_t i = 0; i < workloads.size(); ++i)
            scheduleArrival(workloads, i, Duration::zero());
        while (!events_.empty() && events_.top().time < duration) {
            const auto event = events_.top();
            events_.pop();
            event.task ? finish(event) : arrive(workloads, event);
            for (auto id : scheduler.popExpired(at(event.time)))
                ++results_[tasks_.at(id.value).workload].expired;
            while (auto assignment = scheduler.nextAssignment(at(event.time)))
                start(workloads, *assignment, event.time);
        }
        return std::move(results_);
    }

    Scheduler scheduler;
    OutcomeOf outcomeOf { [](const VmName&) { return TaskOutcome::Succeeded; } };

private:
    struct Event {
        Duration time;
        std::size_t workload { 0 };
        /// Task that ends, or zero for an arrival.
        std::uint64_t task { 0 };
        bool operator<(const Event& other) const { return time > other.time; }
    };
    struct Task {
        std::size_t workload { 0 };
        Duration submittedAt {};
        Duration deadline {};
        Duration runTime {};
        VmName upstream {};
    };

    void scheduleArrival(const std::vector<Workload>& workloads, std::size_t index, Duration now)
    {
        const auto rate = workloads[index].tasksPerSecond;
        if (rate > 0)
            events_.push(
                { now + Duration(1 + static_cast<std::int64_t>(std::exponential_distribution(rate)(random_) * 1e6)),
                    index });
    }

    void arrive(const std::vector<Workload>& workloads, const Event& event)
    {
        const auto& load = workloads[event.workload];
        const TaskId id(++lastTask_);
        const TaskSpec spec { .id = id,
            .method = load.method,
            .clientAccount = load.clientAccount,
            .urgencyWeight = load.urgencyWeight,
            .slots = load.slots,
            .declaredRunTime = load.declaredRunTime,
            .deadline = at(event.time + load.timeout) };
        auto& result = results_[event.workload];
        ++result.submitted;
        if (std::holds_alternative<Refused>(scheduler.submit(spec, at(event.time))))
            ++result.refused;
        else
            tasks_[id.value] = { event.workload, event.time, event.time + load.timeout };
        scheduleArrival(workloads, event.workload, event.time);
    }

    void start(const std::vector<Workload>& workloads, const Assignment& assignment, Duration now)
    {
        auto& task = tasks_.at(assignment.task.value);
        const auto mean = workloads[task.workload].meanRunTime.count();
        task.runTime = Duration(std::uniform_int_distribution<std::int64_t>(mean / 2, mean * 3 / 2)(random_));
        task.upstream = assignment.upstream;
        events_.push({ now + task.runTime, task.workload, assignment.task.value });
    }

    void finish(const Event& event)
    {
        const auto& task = tasks_.at(event.task);
        auto& result = results_[event.workload];
        const auto outcome = outcomeOf(task.upstream);
        scheduler.recordCompletion(TaskId(event.task), outcome, at(event.time));
        result.slotMicros += task.runTime.count();
        if (outcome != TaskOutcome::Succeeded) {
            ++result.failed;
        } else if (event.time <= task.deadline) {
            ++result.completedInTime;
            result.slowdowns.push_back(static_cast<double>((event.time - task.submittedAt).count())
                / static_cast<double>(task.runTime.count()));
        }
        tasks_.erase(event.task);
    }

    std::mt19937_64 random_;
    std::priority_queue<Event> events_;
    std::unordered_map<std::uint64_t, Task> tasks_;
    std::vector<WorkloadResult> results_;
    std::uint64_t lastTask_ { 0 };
};

} // namespace Balsammill::Testing
