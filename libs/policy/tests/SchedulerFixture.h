#pragma once

#include "Simulation.h"

namespace Balsammill::Testing {

inline TaskSpec task(
    std::uint64_t id, Duration declared = std::chrono::milliseconds(100), Duration deadline = std::chrono::seconds(10))
{
    return { .id = TaskId(id),
        .method = MethodName("method"),
        .clientAccount = ClientAccountName("default"),
        .declaredRunTime = declared,
        .deadline = at(deadline) };
}

inline std::vector<UpstreamSpec> upstreams(std::uint32_t count, std::uint32_t slotsEach)
{
    std::vector<UpstreamSpec> specs;
    for (std::uint32_t i = 0; i < count; ++i)
        specs.push_back({ .vm = VmName("u" + std::to_string(i)), .slots = Slots(slotsEach) });
    return specs;
}

inline RpcErrorDetails refusalOf(const Admission& admission)
{
    const auto* refused = std::get_if<Refused>(&admission);
    return refused ? refused->error : RpcErrorDetails { .message = "not refused" };
}

inline std::vector<TaskId> startAll(Scheduler& scheduler, TimePoint now)
{
    std::vector<TaskId> started;
    while (const auto assignment = scheduler.nextAssignment(now))
        started.push_back(assignment->task);
    return started;
}

} // namespace Balsammill::Testing
