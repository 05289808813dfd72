#include "support/Process.h"

#include <Poco/JSON/Parser.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace IntegrationTest {

namespace {

constexpr auto startTimeout = std::chrono::seconds(30);

std::string logPath(const std::string& name)
{
    const std::filesystem::path directory = INTEGRATION_LOG_DIR;
    std::filesystem::create_directories(directory);
    return directory / (name + ".log");
}

std::vector<char*> nullTerminatedPointers(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    for (auto& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

Poco::JSON::Object::Ptr parseObject(const std::string& text)
{
    return Poco::JSON::Parser().parse(text).extract<Poco::JSON::Object::Ptr>();
}

} // namespace

TimePoint in(Balsammill::Duration duration) { return Balsammill::monotonicNow() + duration; }

ReservedPort::ReservedPort()
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int reuse = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("cannot reserve a port on the loopback address");
    number_ = ntohs(address.sin_port);
}

ReservedPort::ReservedPort(ReservedPort&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , number_(other.number_)
{
}

ReservedPort::~ReservedPort()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Process::Process(ProcessOptions options)
    : options_(std::move(options))
{
    spawn();
    try {
        if (!options_.outputToLog)
            readReadyLine();
    } catch (...) {
        kill();
        throw;
    }
}

Process::~Process() { kill(); }

void Process::spawn()
{
    int output[2];
    int input[2];
    if (::pipe2(output, O_CLOEXEC) != 0 || ::pipe2(input, O_CLOEXEC) != 0)
        throw std::runtime_error("pipe2 failed");
    const int log = ::open(logPath(options_.name).c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);

    std::vector<std::string> arguments { options_.program };
    arguments.insert(arguments.end(), options_.arguments.begin(), options_.arguments.end());
    std::vector<std::string> environment;
    for (char** entry = environ; *entry; ++entry)
        environment.emplace_back(*entry);
    for (const auto& [key, value] : options_.environment)
        environment.emplace_back(key).append("=").append(value);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, input[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, options_.outputToLog ? log : output[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, log, STDERR_FILENO);
    auto argumentPointers = nullTerminatedPointers(arguments);
    auto environmentPointers = nullTerminatedPointers(environment);
    const int error = ::posix_spawn(
        &pid_, options_.program.c_str(), &actions, nullptr, argumentPointers.data(), environmentPointers.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(log);
    ::close(input[0]);
    ::close(output[1]);
    input_ = input[1];
    output_ = output[0];
    if (error != 0)
        throw std::runtime_error(
            options_.program + " cannot be started: posix_spawn failed with errno " + std::to_string(error));
}

void Process::readReadyLine()
{
    const auto deadline = in(startTimeout);
    char c = 0;
    while (Balsammill::monotonicNow() < deadline) {
        pollfd poll { output_, POLLIN, 0 };
        if (::poll(&poll, 1, 50) <= 0)
            continue;
        if (::read(output_, &c, 1) != 1)
            break;
        if (c == '\n')
            return;
        readyLine_ += c;
    }
    throw std::runtime_error(options_.name + " did not become ready; its log ends with:\n" + logTail());
}

std::uint16_t Process::portFromReadyLine(const std::string& key) const
{
    return parseObject(readyLine_)->getValue<std::uint16_t>(key);
}

std::vector<std::uint16_t> Process::portsFromReadyLine() const
{
    std::vector<std::uint16_t> ports;
    const auto array = parseObject(readyLine_)->getArray("ports");
    for (std::size_t i = 0; i < array->size(); ++i)
        ports.push_back(array->getElement<std::uint16_t>(static_cast<unsigned>(i)));
    return ports;
}

void Process::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void Process::kill()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    for (int* fd : { &output_, &input_ }) {
        if (*fd >= 0)
            ::close(*fd);
        *fd = -1;
    }
}

std::optional<int> Process::waitForExit(TimePoint deadline)
{
    int status = 0;
    const bool ended = waitUntil(deadline, [&] { return pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_; });
    if (!ended)
        return std::nullopt;
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string Process::logFile() const { return logPath(options_.name); }

std::string Process::logTail() const
{
    std::ifstream file(logPath(options_.name));
    std::ostringstream text;
    text << file.rdbuf();
    const auto content = text.str();
    constexpr std::size_t tailLength = 4000;
    return content.size() > tailLength ? content.substr(content.size() - tailLength) : content;
}

} // namespace IntegrationTest
