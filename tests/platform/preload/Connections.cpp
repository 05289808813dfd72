// Connections that have gone silent show no end and no reset: reads find no more data, and writes seem to succeed.

#include "SharedMemory.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace {

constexpr int maxDescriptors = 4096;
std::array<std::atomic<bool>, maxDescriptors> silent;
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
    return hideEndFromReader(
        descriptor, size, ::syscall(SYS_recvfrom, descriptor, buffer, size, flags, nullptr, nullptr));
}

extern "C" ssize_t send(int descriptor, const void* data, std::size_t size, int flags)
{
    return hideEndFromWriter(
        descriptor, size, ::syscall(SYS_sendto, descriptor, data, size, flags | MSG_NOSIGNAL, nullptr, 0));
}

extern "C" ssize_t sendmsg(int descriptor, const struct msghdr* message, int flags)
{
    std::size_t size = 0;
    for (std::size_t i = 0; i < message->msg_iovlen; ++i)
        size += message->msg_iov[i].iov_len;
    return hideEndFromWriter(descriptor, size, ::syscall(SYS_sendmsg, descriptor, message, flags | MSG_NOSIGNAL));
}

extern "C" int close(int descriptor)
{
    if (isSilent(descriptor))
        silent.at(static_cast<std::size_t>(descriptor)) = false;
    return static_cast<int>(::syscall(SYS_close, descriptor));
}
