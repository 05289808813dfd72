#include "Fleet.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>
#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace PlatformTest {

using namespace std::chrono_literals;

namespace {

constexpr auto host = "fleet.example";
// Below the ephemeral port range. Each test process uses a block of ports that is large enough for its entries.
constexpr int firstPeerPort = 20'000;
constexpr int portBlocks = 150;
constexpr int portsPerProcess = 64;
// Retry delay of the operators' clients.
constexpr auto resendDelay = 1300ms;

bool canBind(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return bound;
}

// Finds two adjacent free ports at or above `next`: the first is for peer connections, the second for metrics.
int findPortPair(int& next)
{
    while (!canBind(next) || !canBind(next + 1))
        next += 2;
    const int found = next;
    next += 2;
    return found;
}

} // namespace

std::string jobId(int number)
{
    const auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

Fleet::Fleet(const Options& options)
    : options_(options)
    , advice_(loop_, options.advisedUpstreams)
{
    store_ = std::make_unique<Standin::OperatorStore>(
        loop_, Standin::OperatorStore::Options { .rowBytes = options.rowBytes });
    configure(1);
    // Test processes that start at the same time use different blocks: findPortPair() does not keep a port bound, so
    // another process could take it before the entry binds it.
    int nextPort = firstPeerPort + static_cast<int>(::getpid() % portBlocks) * portsPerProcess;
    for (const auto& domain : options.domains) {
        for (int i = 0; i < options.upstreamsPerDomain; ++i) {
            upstreams_.push_back(std::make_unique<Standin::OperatorUpstream>(loop_, registry_,
                Standin::OperatorUpstream::Options { .id = "i-" + domain + std::to_string(i),
                    .domain = domain,
                    .milliCores = 32'000,
                    .runMs = options.runMs,
                    .requiresTickets = !options.advisedUpstreams.empty() }));
            store_->put("servers", upstreams_.back()->id(), upstreams_.back()->registration());
        }
        for (int i = 0; i < options.entriesPerDomain; ++i) {
            auto& ports = ports_.emplace_back();
            ports.firstPeer = findPortPair(nextPort);
            const auto file
                = std::string(INTEGRATION_LOG_DIR) + "/" + options.name + "-" + domain + std::to_string(i) + ".toml";
            std::filesystem::create_directories(INTEGRATION_LOG_DIR);
            std::ofstream text(file);
            if (!options.advisedUpstreams.empty())
                text << "advice = \"" << advice_.address() << "\"\n";
            text << "node_name = \"" << domain << i << "\"\nzone = \"" << domain << "\"\nip = \"127.0.0.1\"\n"
                 << "internal_port_range = [" << ports.firstPeer << ", " << ports.firstPeer + 1 << "]\n"
                 << "[listen]\nfront = \"127.0.0.1:" << ports.client.number()
                 << "\"\nready = \"127.0.0.1:" << ports.readiness.number() << "\"\n[zones]\n";
            for (const auto& each : options.domains)
                text << each << " = \"mindanao-north\"\n";
            text << "[bounds]\nmax_hold_ms = 1000\nstop_grace_ms = 50\ngrace_s = 6\n"
                 << "[platform]\naddress = \"" << store_->address() << "\"\nrow_bytes = " << options.rowBytes << "\n";
            if (!options.limits.empty())
                text << "[limits]\n"
                     << options.limits[std::min(static_cast<std::size_t>(i), options.limits.size() - 1)] << "\n";
            settingsFiles_.push_back(file);
        }
    }
    for (std::size_t i = 0; i < settingsFiles_.size(); ++i) {
        std::filesystem::remove(
            std::string(INTEGRATION_LOG_DIR) + "/" + options_.name + "-" + std::to_string(i) + ".log");
        entries_.push_back(start(i));
    }
}

Fleet::~Fleet() { entries_.clear(); }

std::unique_ptr<IntegrationTest::Process> Fleet::start(std::size_t index) const
{
    return std::make_unique<IntegrationTest::Process>(
        IntegrationTest::ProcessOptions { .name = options_.name + "-" + std::to_string(index),
            .program = BALSAMMILL_BINARY,
            .arguments = { "node", "--settings", settingsFiles_[index], "--log-sample", "1" },
            .environment = options_.environment,
            .outputToLog = true });
}

void Fleet::restart(std::size_t entry)
{
    entries_[entry]->kill();
    entries_[entry] = start(entry);
}

void Fleet::configure(int version, const std::string& prefix)
{
    const std::string advice
        = options_.advisedUpstreams.empty() ? "" : R"("advice":{"decision_ms":5,"period_ms":1,"validity_ms":2000},)";
    store_->put("op", "config",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"checks","host":")" + host
            + R"(","path_prefix":")" + prefix + R"(",)" + advice
            + R"("timeout_ms":5000,"target_duration_ms":2000,"priority":0,"service":"tanim","max_attempts":3,"stretch":4.0}],"services":[],"limits":{}})");
}

ClientAnswer Fleet::request(
    std::size_t entry, const std::string& method, const std::string& path, const std::string& body) const
{
    ClientAnswer answer;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", ports_[entry].client.number());
        session.setTimeout(Poco::Timespan(20, 0));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(host);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        answer.retryAfter = response.get("Retry-After", "");
    } catch (const Poco::Exception& error) {
        answer.body = error.displayText();
    }
    return answer;
}

std::string Fleet::submission(int tasks, int milliCores, const std::string& fields, std::optional<int> runMs) const
{
    const auto cores = std::to_string(milliCores);
    const auto spec = runMs ? cores + ":" + std::to_string(*runMs) : cores;
    return R"({"task_spec":")" + spec + R"(",)" + fields + R"("steps":[{"count":)" + std::to_string(tasks)
        + R"(,"cpu":)" + cores + R"(,"memory_limit_mb":64,"estimated_ms":)"
        + std::to_string(runMs.value_or(options_.runMs)) + "}]}";
}

ClientAnswer Fleet::submit(std::size_t entry, const std::string& id, int tasks, int milliCores) const
{
    return request(entry, "POST", "/check/" + id, submission(tasks, milliCores, R"("best_effort":true,)"));
}

std::unique_ptr<Poco::Net::HTTPClientSession> Fleet::openSubmission(
    std::size_t entry, const std::string& id, int tasks, int milliCores) const
{
    auto session = std::make_unique<Poco::Net::HTTPClientSession>("127.0.0.1", ports_[entry].client.number());
    Poco::Net::HTTPRequest request("POST", "/check/" + id, Poco::Net::HTTPRequest::HTTP_1_1);
    const auto body = submission(tasks, milliCores, R"("best_effort":true,)");
    request.setHost(host);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session->sendRequest(request) << body << std::flush;
    return session;
}

void Fleet::submitAndLeave(std::size_t entry, const std::string& id, int tasks, int milliCores) const
{
    openSubmission(entry, id, tasks, milliCores)->reset();
}

ClientAnswer Fleet::submitDurable(
    std::size_t entry, const std::string& id, int tasks, int milliCores, const std::string& extraFields) const
{
    return request(entry, "POST", "/check/" + id, submission(tasks, milliCores, extraFields));
}

ClientAnswer Fleet::submitRepeated(
    std::size_t entry, const std::string& id, int tasks, int runMs, int intervalMs, int count) const
{
    const auto now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    const auto schedule = R"("interval_ms":)" + std::to_string(intervalMs) + R"(,"repeat_count":)"
        + std::to_string(count) + R"(,"first_run_ms":)" + std::to_string(now.count()) + ",";
    return request(entry, "POST", "/check/" + id, submission(tasks, 1'000, schedule, runMs));
}

std::string Fleet::durableSubmission(const std::string& id, int tasks, int milliCores) const
{
    const auto body = submission(tasks, milliCores, {});
    return "POST /check/" + id + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

std::string Fleet::stateOf(std::size_t entry, const std::string& id) const
{
    const auto answer = request(entry, "GET", "/check/" + id, "");
    if (answer.status != 200)
        return std::to_string(answer.status);
    constexpr std::string_view statePrefix = R"({"state":")";
    return answer.body.substr(statePrefix.size(), answer.body.size() - statePrefix.size() - 2);
}

bool Fleet::waitForState(const std::string& id, const std::string& state) const
{
    std::size_t entry = 0;
    return IntegrationTest::waitUntil(
        IntegrationTest::in(30s), [&] { return stateOf(entry++ % entries_.size(), id) == state; });
}

ClientAnswer Fleet::submitUntilAnswered(std::size_t entry, const std::string& id, int tasks, int milliCores) const
{
    ClientAnswer answer;
    constexpr int attempts = 12;
    for (int i = 0; i < attempts; ++i) {
        answer = submit((entry + static_cast<std::size_t>(i)) % entries_.size(), id, tasks, milliCores);
        if (answer.status != 0 && answer.status != 502 && answer.status != 503 && answer.status != 429)
            break;
        std::this_thread::sleep_for(resendDelay);
    }
    return answer;
}

bool Fleet::isReady(std::size_t entry) const
{
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", ports_[entry].readiness.number());
        session.setTimeout(Poco::Timespan(1, 0));
        Poco::Net::HTTPRequest request("GET", "/balsammill/readiness", Poco::Net::HTTPRequest::HTTP_1_1);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        session.receiveResponse(response);
        return response.getStatus() == 200;
    } catch (const Poco::Exception&) {
        return false; // The entry does not listen yet or has exited.
    }
}

bool Fleet::waitUntilReady()
{
    return IntegrationTest::waitUntil(IntegrationTest::in(30s), [this] {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!isReady(i))
                return false;
        }
        return true;
    });
}

std::string Fleet::metrics(std::size_t entry) const
{
    Poco::Net::HTTPClientSession session("127.0.0.1", static_cast<std::uint16_t>(ports_[entry].firstPeer + 1));
    session.setTimeout(Poco::Timespan(5, 0));
    Poco::Net::HTTPRequest request("GET", "/metrics", Poco::Net::HTTPRequest::HTTP_1_1);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string text;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), text);
    return text;
}

std::size_t Fleet::ownerOf(const std::string& domain)
{
    const auto record = store_->valueOf("shards", domain + "/0");
    // The record names the owner first; the name of the entry that handed the shard over can follow.
    std::size_t index = 0;
    std::size_t owner = entries_.size();
    std::size_t firstPosition = std::string::npos;
    for (const auto& each : options_.domains) {
        for (int i = 0; i < options_.entriesPerDomain; ++i, ++index) {
            const auto position = record.find(each + std::to_string(i));
            if (position < firstPosition) {
                firstPosition = position;
                owner = index;
            }
        }
    }
    return owner;
}

std::string Fleet::violations()
{
    return loop_.run([this] {
        std::string text;
        for (const auto& violation : registry_.violations)
            text += violation + "\n";
        return text;
    });
}

int Fleet::starts()
{
    return loop_.run([this] { return registry_.starts; });
}

int Fleet::failedRunsOf(const std::string& job)
{
    return loop_.run([&] {
        int most = 0;
        for (const auto& [task, runs] : registry_.failedRuns)
            most = task.starts_with(job + ".") ? std::max(most, runs) : most;
        return most;
    });
}

bool Fleet::hasRepeatedRuns(const std::string& job)
{
    return loop_.run([&] {
        return std::any_of(registry_.repeatedRuns.begin(), registry_.repeatedRuns.end(),
            [&](const std::string& task) { return task.starts_with(job + "."); });
    });
}

void Fleet::forbidRepeatedTasks()
{
    loop_.run([this] { registry_.forbidRestartAfterCompletion = true; });
}

std::size_t Fleet::unacknowledgedEnds()
{
    std::size_t ends = 0;
    for (const auto& upstream : upstreams_)
        ends += upstream->unacknowledgedEnds();
    return ends;
}

int Fleet::activeRuns()
{
    return loop_.run([this] {
        int sum = 0;
        for (const auto& [task, runs] : registry_.running)
            sum += runs;
        return sum;
    });
}

int Fleet::expiredRuns()
{
    return loop_.run([this] { return registry_.lapsed; });
}

std::vector<std::string> Fleet::logFiles() const
{
    std::vector<std::string> files;
    for (const auto& entry : entries_)
        files.push_back(entry->logFile());
    return files;
}

} // namespace PlatformTest
