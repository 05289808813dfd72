#include "FaultInjector.h"

#include "Workload.h"

#include "balsammill/v1/operator.pb.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <csignal>

namespace FaultRun {

using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// Target: an upstream gets no new tasks 3 s after the platform has marked its VM as leaving.
constexpr std::int64_t leavingGraceUs = 3'000'000;

} // namespace

FaultInjector::FaultInjector(std::uint64_t seed, Deployment& deployment, Records& records)
    : deployment_(deployment)
    , records_(records)
    , random_(seed)
{
}

FaultInjector::~FaultInjector() { stop(); }

void FaultInjector::start()
{
    thread_ = std::thread([this] { run(); });
}

void FaultInjector::stop()
{
    stop_ = true;
    if (thread_.joinable())
        thread_.join();
    healDue(TimePoint::max());
}

int FaultInjector::uniform(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }

void FaultInjector::run()
{
    while (!stop_.load()) {
        healDue(Balsammill::monotonicNow());
        constexpr std::size_t maxActive = 3;
        if (active_.size() < maxActive)
            injectOne();
        std::this_thread::sleep_for(std::chrono::milliseconds(uniform(200, 900)));
    }
}

void FaultInjector::healDue(TimePoint now)
{
    for (auto& fault : active_) {
        if (fault.healAt <= now)
            fault.heal();
    }
    std::erase_if(active_, [&](const ActiveFault& fault) { return fault.healAt <= now; });
}

void FaultInjector::add(const std::string& name, Balsammill::Duration duration, std::function<void()> heal)
{
    active_.push_back({ name, in(duration), std::move(heal) });
    std::lock_guard lock(records_.mutex);
    ++records_.faultCounts[name.substr(0, name.find(' '))];
}

bool FaultInjector::anyActive(const std::string& prefix) const
{
    return std::any_of(
        active_.begin(), active_.end(), [&](const ActiveFault& fault) { return fault.name.starts_with(prefix); });
}

Entry* FaultInjector::pickEntryWithoutFault()
{
    auto& entries = deployment_.entries();
    auto& entry = entries[static_cast<std::size_t>(uniform(0, static_cast<int>(entries.size()) - 1))];
    const bool hasFault = std::any_of(
        active_.begin(), active_.end(), [&](const ActiveFault& fault) { return fault.name.ends_with(" " + entry.vm); });
    return hasFault ? nullptr : &entry;
}

void FaultInjector::injectOne()
{
    switch (uniform(0, 9)) {
    case 0:
        return killEntry();
    case 1:
        return pauseEntry();
    case 2:
        return stopEntryGracefully();
    case 3:
        return cutDomains();
    case 4:
        return dropOneWay();
    case 5:
        return cutPlatform();
    case 6:
        return degradePlatform();
    case 7:
        return degradeUpstream();
    case 8:
        return markUpstreamLeaving();
    default:
        return changeConfig();
    }
}

void FaultInjector::killEntry()
{
    auto* entry = pickEntryWithoutFault();
    if (!entry)
        return;
    entry->process->kill();
    add("kill " + entry->vm, std::chrono::milliseconds(uniform(100, 4000)),
        [this, entry] { deployment_.startEntry(*entry); });
}

void FaultInjector::pauseEntry()
{
    auto* entry = pickEntryWithoutFault();
    if (!entry)
        return;
    entry->process->signal(SIGSTOP);
    add("pause " + entry->vm, std::chrono::milliseconds(uniform(100, 5000)),
        [entry] { entry->process->signal(SIGCONT); });
}

void FaultInjector::stopEntryGracefully()
{
    auto* entry = pickEntryWithoutFault();
    if (!entry || !active_.empty())
        return;
    entry->process->signal(SIGTERM);
    const auto status = entry->process->waitForExit(in(40s));
    {
        std::lock_guard lock(records_.mutex);
        records_.gracefulExitStatuses.push_back(status.value_or(-1));
    }
    add("stop " + entry->vm, 100ms, [this, entry] { deployment_.startEntry(*entry); });
}

void FaultInjector::cutDomains()
{
    if (anyActive("cut"))
        return;
    const auto& entries = deployment_.entries();
    const auto left = entries.front().domain;
    const auto right = entries.back().domain;
    deployment_.setDomainsCut(left, right, true);
    add("cut " + left, std::chrono::milliseconds(uniform(500, 5000)),
        [this, left, right] { deployment_.setDomainsCut(left, right, false); });
}

void FaultInjector::dropOneWay()
{
    const auto* from = pickEntryWithoutFault();
    const auto* to = pickEntryWithoutFault();
    if (!from || !to || from == to || anyActive("one-way"))
        return;
    const auto route = from->vm + "-to-" + to->vm;
    deployment_.setRoute(route, R"({"drop_to_target":true})");
    add("one-way " + route, std::chrono::milliseconds(uniform(500, 5000)),
        [this, route] { deployment_.setRoute(route, R"({"drop_to_target":false})"); });
}

void FaultInjector::cutPlatform()
{
    if (anyActive("platform") || anyActive("leaving"))
        return;
    const auto route = "platform-" + deployment_.entries()[static_cast<std::size_t>(uniform(0, 2))].domain;
    deployment_.setRoute(route, R"({"cut":true})");
    add("platform-cut " + route, std::chrono::milliseconds(uniform(500, 6000)),
        [this, route] { deployment_.setRoute(route, R"({"cut":false})"); });
}

void FaultInjector::degradePlatform()
{
    if (anyActive("platform") || anyActive("leaving"))
        return;
    const std::vector<std::string> kinds { R"({"outage":true})", R"({"lose_answers":0.5})",
        R"({"write_delay_ms":800,"read_delay_ms":300})" };
    deployment_.setPlatformFaults(kinds[static_cast<std::size_t>(uniform(0, 2))]);
    add("platform-degraded", std::chrono::milliseconds(uniform(500, 6000)), [this] {
        deployment_.setPlatformFaults(R"({"outage":false,"lose_answers":0.0,"write_delay_ms":0,"read_delay_ms":0})");
    });
}

void FaultInjector::degradeUpstream()
{
    const std::vector<std::string> kinds { R"({"mode":"fail-all"})", R"({"mode":"dead"})",
        R"({"mode":"slow","factor":10})", R"({"mode":"close-after-request"})" };
    auto& upstreams = deployment_.upstreams();
    const auto& upstream = upstreams[static_cast<std::size_t>(uniform(0, static_cast<int>(upstreams.size()) - 1))];
    if (anyActive("upstream"))
        return;
    deployment_.setUpstreamMode(upstream, kinds[static_cast<std::size_t>(uniform(0, 3))]);
    add("upstream " + upstream.vm, std::chrono::milliseconds(uniform(500, 4000)),
        [this, &upstream] { deployment_.setUpstreamMode(upstream, R"({"mode":"ok"})"); });
}

void FaultInjector::markUpstreamLeaving()
{
    if (!active_.empty())
        return; // An entry that cannot read the upstream list from the platform would break the 3 s target.
    auto& upstreams = deployment_.upstreams();
    const auto& upstream = upstreams[static_cast<std::size_t>(uniform(0, static_cast<int>(upstreams.size()) - 1))];
    deployment_.registerUpstreams({ upstream.vm });
    const auto beginUs = wallClockUs() + leavingGraceUs;
    add("leaving " + upstream.vm, 5s, [this, vm = upstream.vm, beginUs] {
        {
            std::lock_guard lock(records_.mutex);
            records_.leavingIntervals.push_back({ vm, beginUs, wallClockUs() });
        }
        deployment_.registerUpstreams();
    });
}

void FaultInjector::changeConfig()
{
    auto* entry = pickEntryWithoutFault();
    if (!entry)
        return;
    // Each change drains a different VM. A repeated change would already be in effect and be answered with the same
    // version, which the checker would report as accepted twice.
    const auto vm = "fault-run-" + std::to_string(nextChange_++);
    const auto outcome = deployment_.callOperator(*entry, "DrainVm", R"({"vm":")" + vm + "\"}", 3s);
    balsammill::v1::ApplyConfigResponse response;
    std::lock_guard lock(records_.mutex);
    ++records_.faultCounts["config-change"];
    if (outcome.ok && google::protobuf::util::JsonStringToMessage(outcome.answer, &response).ok())
        records_.acceptedVersions.push_back(response.version());
}

} // namespace FaultRun
