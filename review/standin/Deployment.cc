#include "Deployment.hh"

#include "Ports.hh"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace Review {

namespace {

constexpr auto host = "queue.example";
constexpr auto prefix = "/lohu930/";
constexpr auto secondPrefix = "/vare514/";

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool canBind(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(port);
    const bool bound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(descriptor);
    return bound;
}

} // namespace

int nextPort()
{
    static int next = 12'000 + static_cast<int>(::getpid() % 180) * 100;
    while (!canBind(next))
        ++next;
    return next++;
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

std::string jobBody(const std::string& taskText, int count, int milliCores, int estimatedMs,
    const std::string& stepFields, const std::string& jobFields)
{
    return R"({"task_spec":")" + taskText + R"(",)" + jobFields + R"("steps":[{"count":)" + std::to_string(count)
        + R"(,"cpu":)" + std::to_string(milliCores) + R"(,"memory_limit_mb":64,"estimated_ms":)"
        + std::to_string(estimatedMs) + stepFields + "}]}";
}

Deployment::Deployment(Record& record, const std::string& program, const Options& options)
    : record_(record)
    , program_(program)
{
    auto pattern = (std::filesystem::temp_directory_path() / "balsammill-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    store_ = std::make_unique<Standin::OperatorStore>(loop_);
    // tx_ms 6, a read takes 4 ms.
    store_->setFaults({ .writeDelay = Ms(6), .readDelay = Ms(4) });
    std::ostringstream config;
    config << R"({"version":7,"routes":[)";
    for (const auto* each : { prefix, secondPrefix })
        config << (each == prefix ? "" : ",") << R"({"name":")" << (each == prefix ? "route-1" : "route-2")
               << R"(","host":")" << host << R"(","path_prefix":")" << each
               << R"(","service":"tanim","timeout_ms":5000,"priority":1,"max_attempts":)" << options.maxAttempts
               << R"(,"stretch":)" << options.stretch << R"(,"target_duration_ms":)"
               << (each == prefix ? options.targetMs : options.secondTargetMs) << "}";
    config << R"(],"services":[{"name":"tanim","rejects_overload":false}],"limits":{}})";
    store_->put("op", "config", config.str());
    for (const auto& each : options.workers)
        workers_.push_back(std::make_unique<Worker>(loop_, *store_, record_, each));
    // Heartbeats of different workers are spread over the interval.
    for (const auto& each : workers_) {
        each->begin();
        std::this_thread::sleep_for(Ms(1500 / static_cast<int>(workers_.size())));
    }
    for (const auto& zone : options.zones) {
        for (int i = 0; i < zone.entries; ++i) {
            Entry entry { .name = "front-" + zone.name + "-" + std::to_string(i),
                .settings = {},
                .front = nextPort(),
                .ready = nextPort() };
            const int firstPort = nextPort();
            nextPort();
            entry.settings = folder_ + "/" + entry.name + ".toml";
            std::ofstream text(entry.settings);
            text << "node_name = \"" << entry.name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\n"
                 << "serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"" << zone.name
                 << "\"\nregion = \"mindanao-north\"\ninternal_port_range = [" << firstPort << "," << firstPort + 1
                 << "]\nbootstrap = true\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1500\n"
                 << "orders = \"call\"\n[zones]\n";
            for (const auto& each : options.zones)
                text << each.name << " = \"mindanao-north\"\n";
            text << "[listen]\nfront = \"127.0.0.1:" << entry.front << "\"\nready = \"127.0.0.1:" << entry.ready
                 << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfile_descriptors = 4100\n"
                 << "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
                 << "[bounds]\ncontact_ms = 3000\nack_timeout_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n"
                 << "config_apply_ms = 2000\nmax_hold_ms = 1000\nstop_grace_ms = 50\ngang_timeout_ms = 3000\n"
                 << "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n"
                 << "resend_ms = 1300\nlease_ms = 3000\n[platform]\naddress = \"" << store_->address()
                 << "\"\nform = \"table\"\nwrites_per_s = 800\nreads_per_s = 2000\ntx_ms = 6.0\nrow_bytes = 65536\n";
            text.close();
            entries_.push_back(entry);
        }
    }
    for (auto& entry : entries_)
        start(entry);
}

Deployment::~Deployment()
{
    for (auto& entry : entries_) {
        if (entry.process <= 0)
            continue;
        ::kill(entry.process, SIGCONT);
        ::kill(entry.process, SIGKILL);
        ::waitpid(entry.process, nullptr, 0);
    }
    workers_.clear();
    if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr) {
        std::error_code ignored;
        std::filesystem::copy(folder_, keep,
            std::filesystem::copy_options::recursive | std::filesystem::copy_options::overwrite_existing, ignored);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void Deployment::start(Entry& entry)
{
    const auto log = folder_ + "/" + entry.name + ".log";
    const auto variable = "BALSAMMILL_SETTINGS=" + entry.settings;
    const auto sample = std::string("BALSAMMILL_LOG_SAMPLE=1");
    const pid_t child = ::fork();
    if (child < 0)
        throw std::runtime_error("no process");
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        // The entry must not hold the listening sockets of the stand-ins.
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            ::close(descriptor);
        std::string path = "PATH=/usr/bin:/bin";
        std::string settings = variable;
        std::string sampling = sample;
        char* environment[] = { path.data(), settings.data(), sampling.data(), nullptr };
        std::string name = program_;
        std::string command = "node";
        char* arguments[] = { name.data(), command.data(), nullptr };
        ::execve(program_.c_str(), arguments, environment);
        ::_exit(127);
    }
    entry.process = child;
    record_.line("entry " + entry.name + " is started");
}

Worker& Deployment::worker(const std::string& id)
{
    for (const auto& each : workers_) {
        if (each->id() == id)
            return *each;
    }
    throw std::runtime_error("no worker " + id);
}

std::size_t Deployment::ownerOf(const std::string& shard)
{
    const auto row = store_->valueOf("shards", shard);
    std::size_t owner = entries_.size();
    std::size_t first = std::string::npos;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto position = row.find(entries_[i].name);
        if (position < first) {
            first = position;
            owner = i;
        }
    }
    return owner;
}

void Deployment::signalEntry(std::size_t entry, int signal)
{
    record_.line("platform sends signal " + std::to_string(signal) + " to entry " + entries_[entry].name);
    ::kill(entries_[entry].process, signal);
}

bool Deployment::entryEnded(std::size_t entry)
{
    auto& process = entries_[entry].process;
    if (process > 0 && ::waitpid(process, nullptr, WNOHANG) == process) {
        process = -1;
        record_.line("entry " + entries_[entry].name + " has ended");
    }
    return process <= 0;
}

void Deployment::startEntry(std::size_t entry)
{
    while (!entryEnded(entry))
        std::this_thread::sleep_for(Ms(20));
    start(entries_[entry]);
}

Answer Deployment::request(std::size_t entry, const std::string& method, const std::string& path,
    const std::string& body, Ms timeout, const std::string& fields)
{
    Answer answer;
    const auto deadline = Clock::now() + timeout;
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(entries_[entry].front);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return answer;
    }
    answer.connected = true;
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + fields;
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            break;
        sent += static_cast<std::size_t>(count);
    }
    std::string received;
    for (;;) {
        const auto left = std::chrono::duration_cast<Ms>(deadline - Clock::now()).count();
        pollfd wait { .fd = descriptor, .events = POLLIN, .revents = 0 };
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            break;
        char block[4096];
        const auto count = ::recv(descriptor, block, sizeof block, 0);
        if (count <= 0)
            break;
        received.append(block, static_cast<std::size_t>(count));
        const auto end = received.find("\r\n\r\n");
        if (end == std::string::npos)
            continue;
        const auto field = received.find("Content-Length: ");
        const auto length = field < end ? std::stoul(received.substr(field + 16)) : 0;
        if (received.size() < end + 4 + length)
            continue;
        answer.status = std::stoi(received.substr(9, 3));
        answer.body = received.substr(end + 4, length);
        break;
    }
    ::close(descriptor);
    return answer;
}

Answer Deployment::post(
    std::size_t entry, const std::string& id, const std::string& body, Ms timeout, const std::string& fields, int queue)
{
    record_.line("client sends POST " + id + " to " + entries_[entry].name + " " + body);
    const auto answer = request(entry, "POST", (queue == 0 ? prefix : secondPrefix) + id, body, timeout, fields);
    record_.line("client is answered POST " + id + " by " + entries_[entry].name + ": "
        + (answer.status == 0 ? std::string("nothing") : std::to_string(answer.status) + " " + answer.body));
    return answer;
}

std::string Deployment::stateOf(const std::string& id)
{
    Answer answer;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        answer = request(i, "GET", prefix + id, {}, Ms(2000));
        if (answer.status == 200 || answer.status == 410)
            break;
    }
    record_.line("client asks for the state of " + id + ": " + std::to_string(answer.status) + " " + answer.body);
    if (answer.status != 200)
        return std::to_string(answer.status);
    const auto begin = answer.body.find(":\"") + 2;
    return answer.body.substr(begin, answer.body.find('"', begin) - begin);
}

bool Deployment::waitUntilReady()
{
    const auto deadline = Clock::now() + Ms(20'000);
    while (Clock::now() < deadline) {
        bool all = true;
        for (auto& entry : entries_) {
            const int front = entry.front;
            entry.front = entry.ready;
            const auto index = static_cast<std::size_t>(&entry - entries_.data());
            all = all && request(index, "GET", "/balsammill/readiness", {}, Ms(1000)).status == 200;
            entry.front = front;
        }
        if (all) {
            record_.line("all entries are ready");
            return true;
        }
        std::this_thread::sleep_for(Ms(100));
    }
    return false;
}

} // namespace Review
