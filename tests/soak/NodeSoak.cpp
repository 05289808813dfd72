#include "../platform/Fleet.h"
#include "../platform/NetworkCut.h"

#include <CLI/CLI.hpp>
#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

constexpr int domains = 2;
const std::vector<std::string> domainNames { "valencia", "lantapan" };
// As in the configuration that Fleet writes.
constexpr int maxAttempts = 3;
// Small rows, so that a state with all occurrences of a repeated job listed would not fit.
constexpr std::size_t rowBytes = 4'096;
constexpr int occurrences = 700;
// Delay of a client whose job was not accepted before it submits the next one.
constexpr auto refusedClientDelay = 100ms;

struct JobCounts {
    std::atomic<int> completed { 0 };
    std::atomic<int> unanswered { 0 };
    std::atomic<int> queries { 0 };
};

/// Durable jobs by the outcome of their only submission.
struct DurableCounts {
    std::mutex mutex;
    std::set<std::string> accepted;
    std::set<std::string> refused;
};

// Submits jobs one after the other; like the operators' clients it repeats each until it has a final answer.
void runClient(const Fleet& fleet, int client, const std::atomic<bool>& stopping, JobCounts& jobs)
{
    for (int i = 0; !stopping; ++i) {
        auto digits = std::to_string(client * 100'000 + i + 1);
        const auto id = std::string(16 - digits.size(), '0') + digits;
        const auto answer = fleet.submitUntilAnswered(static_cast<std::size_t>(client + i) % fleet.entryCount(), id, 2);
        ++(answer.status == 200 ? jobs.completed : jobs.unanswered);
    }
}

// Submits each durable job once. Accepted ones have to complete; refused ones must not run.
void runDurableClient(const Fleet& fleet, int client, const std::atomic<bool>& stopping, DurableCounts& jobs)
{
    for (int i = 0; !stopping; ++i) {
        const auto id = jobId(client * 100'000 + i + 1);
        const auto answer = fleet.submitDurable(static_cast<std::size_t>(client + i) % fleet.entryCount(), id, 2);
        const std::lock_guard lock(jobs.mutex);
        if (answer.status == 200)
            jobs.accepted.insert(id);
        else if (answer.status == 429 || answer.status == 503)
            jobs.refused.insert(id);
        if (answer.status != 200)
            std::this_thread::sleep_for(refusedClientDelay);
    }
}

// Submits jobs with many short occurrences, one every few seconds. Accepted ones have to complete.
void runRepeatingClient(const Fleet& fleet, const std::atomic<bool>& stopping, DurableCounts& jobs)
{
    for (int i = 0; !stopping; ++i) {
        const auto id = jobId(6'000'000 + i);
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        const auto answer = fleet.submitDurable(static_cast<std::size_t>(i) % fleet.entryCount(), id, 1, 100,
            R"("interval_ms":5,"repeat_count":)" + std::to_string(occurrences) + R"(,"first_run_ms":)"
                + std::to_string(now.count()) + ",");
        if (answer.status == 200) {
            const std::lock_guard lock(jobs.mutex);
            jobs.accepted.insert(id);
        }
        for (int wait = 0; wait < 40 && !stopping; ++wait)
            std::this_thread::sleep_for(refusedClientDelay);
    }
}

// Submits jobs with some overlapping occurrences of several tasks each. Accepted ones have to end.
void runOverlappingClient(const Fleet& fleet, const std::atomic<bool>& stopping, DurableCounts& jobs)
{
    for (int i = 0; !stopping; ++i) {
        const auto id = jobId(7'000'000 + i);
        const auto answer = fleet.submitRepeated(static_cast<std::size_t>(i) % fleet.entryCount(), id, 3, 700, 400, 15);
        if (answer.status == 200) {
            const std::lock_guard lock(jobs.mutex);
            jobs.accepted.insert(id);
        }
        for (int wait = 0; wait < 15 && !stopping; ++wait)
            std::this_thread::sleep_for(refusedClientDelay);
    }
}

// Submits durable jobs and cancels them while their tasks run.
void runCancellingClient(const Fleet& fleet, unsigned seed, const std::atomic<bool>& stopping)
{
    std::mt19937 random(seed);
    for (int i = 0; !stopping; ++i) {
        const auto id = jobId(5'000'000 + i);
        const auto entry = random() % fleet.entryCount();
        const auto accepted = fleet.submitDurable(entry, id, 4, 2'000).status == 200;
        std::this_thread::sleep_for(accepted ? std::chrono::milliseconds(random() % 120) : refusedClientDelay);
        if (accepted)
            fleet.request(entry, "DELETE", "/check/" + id, "");
    }
}

// Asks for the number of waiting jobs on one connection until the entry closes it or its process is gone.
void runPersistentClient(const Fleet& fleet, std::size_t entry, const std::atomic<bool>& stopping, JobCounts& jobs)
{
    while (!stopping) {
        try {
            Poco::Net::HTTPClientSession session("127.0.0.1", fleet.clientPort(entry));
            session.setKeepAlive(true);
            session.setTimeout(Poco::Timespan(5, 0));
            for (bool open = true; open && !stopping;) {
                Poco::Net::HTTPRequest request("GET", "/check/", Poco::Net::HTTPRequest::HTTP_1_1);
                request.setHost("fleet.example");
                request.setKeepAlive(true);
                session.sendRequest(request);
                Poco::Net::HTTPResponse response;
                Poco::NullOutputStream body;
                Poco::StreamCopier::copyStream(session.receiveResponse(response), body);
                open = response.getKeepAlive();
                ++jobs.queries;
                std::this_thread::sleep_for(20ms);
            }
        } catch (const Poco::Exception&) {
            std::this_thread::sleep_for(50ms); // The process has ended, or is paused.
        }
    }
}

/// Faults that last until they are ended.
struct OpenFaults {
    std::vector<std::size_t> paused;
    std::set<std::size_t> away;
    std::unique_ptr<NetworkCut> cut;
    // By domain.
    std::map<std::size_t, std::size_t> failingUpstreams;
    // The domain that is lost or cut off. The other one serves meanwhile, so that its entries are left alone.
    std::optional<std::size_t> domain;

    void end(Fleet& fleet)
    {
        domain.reset();
        cut.reset();
        for (const auto& [each, upstream] : failingUpstreams)
            fleet.upstream(upstream).setFailing(false);
        failingUpstreams.clear();
        for (const auto each : paused)
            fleet.entry(each).signal(SIGCONT);
        paused.clear();
        for (const auto each : away)
            fleet.restart(each);
        away.clear();
        fleet.store().setOutage(false);
    }
};

std::vector<std::size_t> entriesOf(const Fleet& fleet, std::size_t domain)
{
    const auto each = fleet.entryCount() / domains;
    std::vector<std::size_t> entries;
    for (std::size_t i = 0; i < each; ++i)
        entries.push_back(domain * each + i);
    return entries;
}

// Cuts a domain off from the store and from the entries of the other one.
std::unique_ptr<NetworkCut> cutOff(Fleet& fleet, std::size_t domain)
{
    const auto store = fleet.store().address();
    std::vector<const Process*> inside;
    std::vector<int> ports { std::stoi(store.substr(store.rfind(':') + 1)) };
    for (const auto entry : entriesOf(fleet, domain))
        inside.push_back(&fleet.entry(entry));
    for (const auto entry : entriesOf(fleet, 1 - domain))
        ports.push_back(fleet.peerPort(entry));
    return std::make_unique<NetworkCut>(inside, ports);
}

// Injects one random fault and returns its description.
std::string injectFault(Fleet& fleet, std::mt19937& random, OpenFaults& open)
{
    auto entry = random() % fleet.entryCount();
    const auto upstream = random() % fleet.upstreamCount();
    const auto domain = random() % domains;
    if (open.domain)
        entry = entriesOf(fleet, *open.domain)[entry % entriesOf(fleet, *open.domain).size()];
    const bool mayDisturbDomain = !open.domain && open.paused.empty();
    switch (random() % 12) {
    case 0:
        fleet.restart(entry);
        open.away.erase(entry);
        return "kill entry " + std::to_string(entry);
    case 1:
        if (!open.away.contains(entry)) {
            fleet.entry(entry).signal(SIGSTOP);
            open.paused.push_back(entry);
        }
        return "pause entry " + std::to_string(entry);
    case 2:
        open.end(fleet);
        return "end all faults";
    case 9:
        if (!mayDisturbDomain)
            return "no fault";
        open.domain = domain;
        for (const auto each : entriesOf(fleet, domain)) {
            fleet.entry(each).kill();
            open.away.insert(each);
        }
        return "lose domain " + std::to_string(domain);
    case 10:
        if (!mayDisturbDomain)
            return "no fault";
        open.domain = domain;
        open.cut = cutOff(fleet, domain);
        return "cut off domain " + std::to_string(domain);
    case 11:
        fleet.configure(static_cast<int>(2 + random() % 1'000'000));
        return "change the configuration";
    case 3:
        fleet.store().setOutage(true);
        return "store down";
    case 4:
        fleet.store().setOutage(false);
        return "store up";
    case 5:
        fleet.store().dropNextAnswers(1 + static_cast<int>(random() % 5));
        return "store loses answers";
    case 6:
        fleet.upstream(upstream).dropNextAnswers(2);
        return "upstream " + std::to_string(upstream) + " loses answers";
    case 7:
        fleet.upstream(upstream).delayStarts(2, 300 + static_cast<int>(random() % 2'000));
        return "upstream " + std::to_string(upstream) + " delays starts";
    default:
        if (open.away.contains(entry) || std::count(open.paused.begin(), open.paused.end(), entry) > 0)
            return "no fault";
        fleet.entry(entry).signal(SIGTERM);
        if (!fleet.entry(entry).waitForExit(in(8s)))
            std::cout << "entry " << entry << " did not exit within 8 s of SIGTERM\n";
        fleet.restart(entry);
        return "graceful restart of entry " + std::to_string(entry);
    }
}

std::size_t randomUpstreamOf(const Fleet& fleet, std::size_t domain, std::mt19937& random)
{
    const auto each = fleet.upstreamCount() / domains;
    return domain * each + random() % each;
}

int startsIn(Fleet& fleet, std::size_t domain)
{
    const auto each = fleet.upstreamCount() / domains;
    int starts = 0;
    for (std::size_t i = 0; i < each; ++i)
        starts += fleet.upstream(domain * each + i).starts();
    return starts;
}

// Ends several owners of a shard one after the other, each soon after it has started its first tasks. One of the
// upstreams fails its runs or is cut off meanwhile, so that ends reach later owners, and not in the order of the runs.
std::string changeOwners(Fleet& fleet, std::mt19937& random, OpenFaults& open)
{
    open.end(fleet);
    const auto domain = random() % domains;
    const auto upstream = randomUpstreamOf(fleet, domain, random);
    std::string text = "owners of domain " + std::to_string(domain) + ":";
    if (random() % 4 == 0) {
        std::vector<const Process*> all;
        for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry)
            all.push_back(&fleet.entry(entry));
        const auto& address = fleet.upstream(upstream).address();
        open.cut = std::make_unique<NetworkCut>(all, std::vector { std::stoi(address.substr(address.rfind(':') + 1)) });
        text += " upstream " + std::to_string(upstream) + " cut off,";
    } else {
        open.failingUpstreams[domain] = upstream;
        fleet.upstream(upstream).setFailing(true);
        text += " upstream " + std::to_string(upstream) + " fails runs,";
    }
    for (auto changes = 2 + random() % 2; changes > 0; --changes) {
        const auto owner = fleet.ownerOf(domainNames[domain]);
        if (owner < fleet.entryCount()) {
            const bool kill = random() % 3 != 0;
            text += (kill ? " kill " : " stop ") + std::to_string(owner);
            if (!kill) {
                fleet.entry(owner).signal(SIGTERM);
                fleet.entry(owner).waitForExit(in(8s));
            }
            fleet.restart(owner);
        }
        const int before = startsIn(fleet, domain);
        waitUntil(in(5s), [&] { return startsIn(fleet, domain) > before; });
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 700));
    }
    open.cut.reset();
    if (random() % 2 == 0)
        open.end(fleet);
    return text;
}

// Jobs whose outcome contradicts the answer to their submission; one per line.
std::string checkDurable(Fleet& fleet, DurableCounts& jobs)
{
    std::string wrong;
    for (const auto& id : jobs.accepted) {
        const bool mayFail = fleet.failedRunsOf(id) >= maxAttempts;
        if (!(mayFail && fleet.stateOf(0, id) == "failed") && !fleet.waitForState(id, "completed"))
            wrong.append("job ").append(id).append(" was accepted and is ").append(fleet.stateOf(0, id)).append("\n");
        if (fleet.hasRepeatedRuns(id))
            wrong.append("job ").append(id).append(" has two starts of a task with one run number\n");
    }
    for (const auto& id : jobs.refused) {
        if (const auto state = fleet.stateOf(0, id); state != "410")
            wrong.append("job ").append(id).append(" was refused and is ").append(state).append("\n");
    }
    return wrong;
}

int soak(unsigned seed, int seconds, int entriesPerDomain)
{
    Fleet fleet({ .name = "soak-" + std::to_string(seed),
        .domains = domainNames,
        .entriesPerDomain = entriesPerDomain,
        .upstreamsPerDomain = 3,
        .runMs = 80,
        .rowBytes = rowBytes,
        .environment = SuspendedTimeMapping::environment() });
    if (!fleet.waitUntilReady()) {
        std::cout << "seed " << seed << ": the entries did not become ready\n";
        return 1;
    }
    std::mt19937 random(seed);
    // Drawn apart, so that the other faults of a seed stay the same.
    std::mt19937 ownerChanges(seed + 1);
    std::atomic<bool> stopping { false };
    JobCounts jobs;
    DurableCounts durable;
    std::vector<std::thread> clients;
    for (int client = 0; client < 6; ++client)
        clients.emplace_back([&, client] { runClient(fleet, client, stopping, jobs); });
    for (int client = 6; client < 9; ++client)
        clients.emplace_back([&, client] { runDurableClient(fleet, client, stopping, durable); });
    clients.emplace_back([&] { runCancellingClient(fleet, seed, stopping); });
    clients.emplace_back([&] { runRepeatingClient(fleet, stopping, durable); });
    clients.emplace_back([&] { runOverlappingClient(fleet, stopping, durable); });
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry)
        clients.emplace_back([&, entry] { runPersistentClient(fleet, entry, stopping, jobs); });
    OpenFaults open;
    int faults = 0;
    const auto until = in(std::chrono::seconds(seconds));
    while (Balsammill::monotonicNow() < until) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + random() % 1'200));
        // Faults come in series that overlap.
        for (auto series = 1 + random() % 3; series > 0; --series) {
            std::cout << "fault: " << injectFault(fleet, random, open) << std::endl;
            ++faults;
        }
        if (ownerChanges() % 3 == 0) {
            std::cout << "fault: " << changeOwners(fleet, ownerChanges, open) << std::endl;
            ++faults;
        }
    }
    open.end(fleet);
    const int before = jobs.completed;
    const bool recovered = waitUntil(in(20s), [&] { return jobs.completed >= before + 12; });
    stopping = true;
    for (auto& client : clients)
        client.join();
    auto violations = fleet.violations() + checkDurable(fleet, durable);
    if (!waitUntil(in(20s), [&] { return fleet.unacknowledgedEnds() == 0; }))
        violations += std::to_string(fleet.unacknowledgedEnds()) + " ends are not acknowledged\n";
    if (const auto rejected = fleet.store().rejectedWrites(); rejected > 0)
        violations += std::to_string(rejected) + " transactions are beyond the limits of the store\n";
    std::cout << "seed " << seed << ": " << faults << " faults, " << jobs.completed << " jobs completed, "
              << jobs.unanswered << " without a final answer, " << durable.accepted.size() << " stored, "
              << durable.refused.size() << " refused, " << jobs.queries << " queries on open connections, "
              << fleet.starts() << " starts" << (recovered ? "" : ", not recovered") << "\n"
              << violations;
    return violations.empty() && recovered && jobs.unanswered == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "Runs real entries under random faults and checks for violations and failed jobs" };
    unsigned seed = 1;
    int seconds = 30;
    int entriesPerDomain = 2;
    app.add_option("--seed", seed, "Seed of the faults")->capture_default_str();
    app.add_option("--seconds", seconds, "How long faults are injected")->capture_default_str();
    app.add_option("--entries", entriesPerDomain, "Entries in each of the two failure domains")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return soak(seed, seconds, entriesPerDomain);
}
