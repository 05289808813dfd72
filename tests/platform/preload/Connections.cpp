// Connections that have gone silent show no end and no reset: reads find no more data, and writes seem to succeed. The
// data of a connection that is cut off is lost in both directions.

#include "SharedMemory.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace {

constexpr int maxDescriptors = 4096;
std::array<std::atomic<bool>, maxDescriptors> silent;
std::array<std::atomic<bool>, maxDescriptors> severed;
std::atomic<std::int64_t> silencesSeen;

bool isConnection(int descriptor)
{
    sockaddr_storage address {};
    socklen_t length = sizeof(address);
    return ::getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0
        && address.ss_family == AF_INET;
}

bool isSilent(int descriptor)
{
    return descriptor >= 0 && descriptor < maxDescriptors && silent.at(static_cast<std::size_t>(descriptor));
}

// Called before the process learns of new connections.
void noticeSilence()
{
    const auto* const shared = suspendedTime();
    if (shared == nullptr)
        return;
    const auto silences = shared->silences.load();
    if (silencesSeen.exchange(silences) == silences)
        return;
    const int error = errno;
    for (int descriptor = 0; descriptor < maxDescriptors; ++descriptor)
        silent.at(static_cast<std::size_t>(descriptor)) = isConnection(descriptor);
    errno = error;
}

std::int64_t portOf(int (*name)(int, sockaddr*, socklen_t*), int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    const bool known = name(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    return known && address.sin_family == AF_INET ? ntohs(address.sin_port) : 0;
}

// True if the data of this connection is lost, because it was used during a cut that concerns one of its ports.
bool isSevered(int descriptor)
{
    const auto* const shared = suspendedTime();
    if (shared == nullptr || descriptor < 0 || descriptor >= maxDescriptors)
        return false;
    auto& found = severed.at(static_cast<std::size_t>(descriptor));
    const auto ports = shared->cutPortCount.load();
    if (found || ports == 0)
        return found;
    const int error = errno;
    const auto local = portOf(::getsockname, descriptor);
    const auto remote = portOf(::getpeername, descriptor);
    errno = error;
    for (std::size_t i = 0; i < static_cast<std::size_t>(ports); ++i) {
        const auto port = shared->cutPorts.at(i).load();
        if (remote != 0 && (port == local || port == remote))
            found = true;
    }
    return found;
}

bool isEnd(ssize_t result) { return result == 0 || (result < 0 && (errno == ECONNRESET || errno == EPIPE)); }

ssize_t hideEndFromReader(int descriptor, std::size_t size, ssize_t result)
{
    if (size == 0 || !isSilent(descriptor) || !isEnd(result))
        return result;
    errno = EAGAIN;
    return -1;
}

ssize_t hideEndFromWriter(int descriptor, std::size_t size, ssize_t result)
{
    return isSilent(descriptor) && isEnd(result) ? static_cast<ssize_t>(size) : result;
}

} // namespace

extern "C" int epoll_wait(int epoll, struct epoll_event* events, int capacity, int timeout)
{
    const auto count = static_cast<int>(::syscall(SYS_epoll_pwait, epoll, events, capacity, timeout, nullptr, 0));
    noticeSilence();
    return count;
}

extern "C" ssize_t recv(int descriptor, void* buffer, std::size_t size, int flags)
{
    if (size > 0 && isSevered(descriptor)) {
        errno = EAGAIN;
        return -1;
    }
    return hideEndFromReader(
        descriptor, size, ::syscall(SYS_recvfrom, descriptor, buffer, size, flags, nullptr, nullptr));
}

extern "C" ssize_t send(int descriptor, const void* data, std::size_t size, int flags)
{
    if (isSevered(descriptor))
        return static_cast<ssize_t>(size);
    return hideEndFromWriter(
        descriptor, size, ::syscall(SYS_sendto, descriptor, data, size, flags | MSG_NOSIGNAL, nullptr, 0));
}

extern "C" ssize_t sendmsg(int descriptor, const struct msghdr* message, int flags)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i)
        size += message->msg_iov[i].iov_len;
    if (isSevered(descriptor))
        return static_cast<ssize_t>(size);
    return hideEndFromWriter(descriptor, size, ::syscall(SYS_sendmsg, descriptor, message, flags | MSG_NOSIGNAL));
}

extern "C" int close(int descriptor)
{
    if (descriptor >= 0 && descriptor < maxDescriptors) {
        silent.at(static_cast<std::size_t>(descriptor)) = false;
        severed.at(static_cast<std::size_t>(descriptor)) = false;
    }
    return static_cast<int>(::syscall(SYS_close, descriptor));
}
