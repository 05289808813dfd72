#include "Net.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;
const auto startedAt = Clock::now();

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool sendAll(int socket, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Reads one message whose body, if any, has a Content-Length.
bool readMessage(int socket, std::string& buffer, std::string& firstLine, std::map<std::string, std::string>& fields,
    std::string& body, std::int64_t deadlineMs, bool& timedOut)
{
    const auto fill = [&] {
        if (deadlineMs > 0) {
            pollfd waiting { .fd = socket, .events = POLLIN, .revents = 0 };
            const auto left = deadlineMs - nowMs();
            if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
                timedOut = true;
                return false;
            }
        }
        char block[16384];
        const auto count = ::recv(socket, block, sizeof(block), 0);
        if (count <= 0)
            return false;
        buffer.append(block, static_cast<std::size_t>(count));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill())
            return false;
    }
    const std::string head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    auto position = head.find("\r\n");
    firstLine = head.substr(0, position);
    fields.clear();
    while (position != std::string::npos) {
        const auto next = head.find("\r\n", position + 2);
        const auto line = head.substr(position + 2, next == std::string::npos ? next : next - position - 2);
        if (const auto colon = line.find(':'); colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            fields[lower(line.substr(0, colon))] = value;
        }
        position = next;
    }
    std::size_t length = 0;
    if (const auto found = fields.find("content-length"); found != fields.end())
        length = std::stoul(found->second);
    while (buffer.size() < length) {
        if (!fill())
            return false;
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

struct Server::State {
    Handler handler;
    std::mutex mutex;
    std::set<int> sockets;
    int listener { -1 };
    std::atomic<bool> stopped { false };
    std::atomic<bool> dark { false };
};

Server::Server(Handler handler)
    : state_(std::make_shared<State>())
{
    state_->handler = std::move(handler);
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    ::bind(listener, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(listener, 512);
    ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    state_->listener = listener;
    std::thread([state = state_, listener] {
        while (true) {
            const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0)
                return;
            setNoDelay(socket);
            if (state->dark)
                return; // what is in the queue of new connections stays there
            {
                const std::lock_guard lock(state->mutex);
                if (state->stopped) {
                    ::close(socket);
                    return;
                }
                state->sockets.insert(socket);
            }
            std::thread([state, socket] {
                std::string buffer;
                std::string line;
                Request request;
                bool timedOut = false;
                while (readMessage(socket, buffer, line, request.fields, request.body, 0, timedOut)) {
                    const auto first = line.find(' ');
                    const auto second = line.find(' ', first + 1);
                    request.method = line.substr(0, first);
                    request.target = line.substr(first + 1, second - first - 1);
                    const auto response = state->dark ? std::nullopt : state->handler(request);
                    while (state->dark && !state->stopped)
                        sleepMs(20);
                    if (!response)
                        break;
                    if (!sendAll(socket,
                            "HTTP/1.1 " + std::to_string(response->status) + " -\r\nContent-Type: application/json\r\n"
                                + "Content-Length: " + std::to_string(response->body.size()) + "\r\n\r\n"
                                + response->body))
                        break;
                }
                const std::lock_guard lock(state->mutex);
                state->sockets.erase(socket);
                ::close(socket);
            }).detach();
        }
    }).detach();
}

void Server::goDark()
{
    state_->dark = true;
    // A full queue of new connections drops the opening packets.
    ::listen(state_->listener, 0);
    for (int i = 0; i < 4; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto address = loopback(port_);
        ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
        fillers_.push_back(socket);
        sleepMs(1);
    }
}

void Server::stop()
{
    const std::lock_guard lock(state_->mutex);
    if (state_->stopped)
        return;
    state_->stopped = true;
    for (const int socket : fillers_)
        ::close(socket);
    ::shutdown(state_->listener, SHUT_RDWR);
    ::close(state_->listener);
    for (const int socket : state_->sockets)
        ::shutdown(socket, SHUT_RDWR);
}

Server::~Server() { stop(); }

Connection::Connection(int port)
{
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        close();
    else
        setNoDelay(socket_);
}

Connection::~Connection() { close(); }

void Connection::close()
{
    if (socket_ >= 0)
        ::close(socket_);
    socket_ = -1;
}

Reply Connection::send(const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, std::int64_t timeoutMs)
{
    Reply reply;
    if (socket_ < 0)
        return reply;
    reply.connected = true;
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Balsammill-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    std::string buffer;
    std::string line;
    std::map<std::string, std::string> fields;
    if (!sendAll(socket_, text + "\r\n" + body)
        || !readMessage(socket_, buffer, line, fields, reply.body, nowMs() + timeoutMs, reply.timedOut)) {
        close();
        return reply;
    }
    reply.status = std::stoi(line.substr(line.find(' ') + 1));
    if (const auto found = fields.find("connection"); found != fields.end() && lower(found->second) == "close")
        close();
    return reply;
}

Reply call(int port, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, std::int64_t timeoutMs)
{
    Connection connection(port);
    return connection.send(method, target, host, body, timeoutMs);
}

int freePort()
{
    // Below the usual range of ephemeral ports, so that no outgoing connection takes it.
    static int next = 20'000 + static_cast<int>(::getpid() % 190) * 60;
    while (true) {
        const int port = next++;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool bound = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (bound)
            return port;
    }
}

} // namespace Review
