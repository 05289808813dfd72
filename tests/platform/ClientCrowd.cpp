#include "ClientCrowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace PlatformTest {

namespace {

// The crowd gives up when no connection accepts a byte for this long.
constexpr int noProgressMs = 1'000;
constexpr std::size_t blockBytes = 16 * 1024;

int connectTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

} // namespace

ClientCrowd::ClientCrowd(std::uint16_t port, std::size_t connections)
{
    for (std::size_t i = 0; i < connections; ++i)
        connections_.push_back({ .descriptor = connectTo(port) });
}

ClientCrowd::~ClientCrowd()
{
    for (const auto& each : connections_) {
        if (each.descriptor >= 0)
            ::close(each.descriptor);
    }
}

void ClientCrowd::send(const std::string& opening, const std::string& repeated, std::size_t bytesPerConnection)
{
    std::string block;
    while (block.size() < blockBytes)
        block += repeated;
    while (true) {
        std::vector<pollfd> writable;
        std::vector<Connection*> targets;
        for (auto& each : connections_) {
            if (each.descriptor < 0 || each.sent >= bytesPerConnection)
                continue;
            writable.push_back({ .fd = each.descriptor, .events = POLLOUT, .revents = 0 });
            targets.push_back(&each);
        }
        if (writable.empty() || ::poll(writable.data(), writable.size(), noProgressMs) <= 0)
            return;
        for (std::size_t i = 0; i < writable.size(); ++i) {
            if (writable[i].revents == 0)
                continue;
            auto& target = *targets[i];
            const bool begins = target.sent < opening.size();
            const auto text
                = begins ? opening.substr(target.sent) : block.substr((target.sent - opening.size()) % repeated.size());
            const auto count = ::send(
                target.descriptor, text.data(), std::min(text.size(), bytesPerConnection - target.sent), MSG_NOSIGNAL);
            if (count > 0) {
                target.sent += static_cast<std::size_t>(count);
            } else if (errno != EAGAIN) {
                ::close(target.descriptor);
                target.descriptor = -1;
            }
        }
    }
}

std::size_t peakMemory(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(file, line)) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stoul(line.substr(6)) * 1024;
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator folder("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(folder), end(folder)));
}

} // namespace PlatformTest
