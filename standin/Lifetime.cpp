#include "Lifetime.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace Balsammill::Standin {

namespace {

/// Discards readable input. Returns true at the end of the input or on a read error.
bool reachedEnd(int descriptor)
{
    std::array<char, 4096> buffer {};
    const auto count = ::read(descriptor, buffer.data(), buffer.size());
    return count == 0 || (count < 0 && errno != EINTR && errno != EAGAIN);
}

} // namespace

Lifetime::Lifetime(bool exitWithStdin)
    : exitWithStdin_(exitWithStdin)
{
    sigset_t shutdownSignals;
    sigemptyset(&shutdownSignals);
    sigaddset(&shutdownSignals, SIGTERM);
    sigaddset(&shutdownSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &shutdownSignals, nullptr);
    // Writing to a connection that the peer has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    signalDescriptor_ = ::signalfd(-1, &shutdownSignals, SFD_CLOEXEC);
    if (signalDescriptor_ < 0)
        throw std::system_error(errno, std::generic_category(), "signalfd");
}

Lifetime::~Lifetime() { ::close(signalDescriptor_); }

void Lifetime::waitForShutdown() const { waitForShutdownUntil(TimePoint::max()); }

bool Lifetime::waitForShutdownUntil(TimePoint deadline) const
{
    std::array<pollfd, 2> pollEntries { { { signalDescriptor_, POLLIN, 0 },
        { exitWithStdin_ ? STDIN_FILENO : -1, POLLIN, 0 } } };
    for (auto now = monotonicNow(); now < deadline; now = monotonicNow()) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count() + 1;
        if (::poll(pollEntries.data(), pollEntries.size(), static_cast<int>(std::min<std::int64_t>(left, 60'000))) <= 0)
            continue;
        if (pollEntries[0].revents != 0 || (pollEntries[1].revents != 0 && reachedEnd(STDIN_FILENO)))
            return true;
    }
    return false;
}

void exitProcess()
{
    std::cout.flush();
    std::_Exit(0);
}

void printReady(std::uint16_t port, const std::string& portsJson)
{
    std::cout << R"({"ready":true,"port":)" << port;
    if (!portsJson.empty())
        std::cout << R"(,"ports":)" << portsJson;
    std::cout << "}" << std::endl;
}

std::string toJson(const std::vector<std::uint16_t>& ports)
{
    std::ostringstream text;
    for (const auto port : ports)
        text << (text.tellp() > 0 ? "," : "[") << port;
    return text.str() + "]";
}

std::string toJson(const std::map<std::string, std::uint16_t>& ports)
{
    std::ostringstream text;
    for (const auto& [name, port] : ports)
        text << (text.tellp() > 0 ? "," : "{") << '"' << name << "\":" << port;
    return text.str() + "}";
}

} // namespace Balsammill::Standin
