#include "DeadlineSocket.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <sys/socket.h>

namespace Balsammill::Detail {

namespace {

void throwIfPassed(TimePoint deadline)
{
    if (monotonicNow() >= deadline)
        throw Poco::TimeoutException("deadline passed");
}

} // namespace

Duration remainingUntil(TimePoint deadline)
{
    return std::max<Duration>(deadline - monotonicNow(), std::chrono::milliseconds(1));
}

DeadlineSocket::DeadlineSocket(TimePoint deadline)
    : deadline_(deadline)
{
}

int DeadlineSocket::sendBytes(const void* buffer, int length, int flags)
{
    int sent = 0;
    while (sent < length) {
        throwIfPassed(deadline_);
        setSendTimeout(Poco::Timespan(remainingUntil(deadline_).count()));
        // The parent's function repeats the call and loses the count when a later part fails.
        // NOLINTBEGIN(bugprone-parent-virtual-call)
        const int accepted
            = SocketImpl::sendBytes(static_cast<const char*>(buffer) + sent, length - sent, flags | MSG_NOSIGNAL);
        // NOLINTEND(bugprone-parent-virtual-call)
        sent += accepted;
        sentBytes_ += static_cast<std::size_t>(accepted);
    }
    return sent;
}

int DeadlineSocket::receiveBytes(void* buffer, int length, int flags)
{
    throwIfPassed(deadline_);
    setReceiveTimeout(Poco::Timespan(remainingUntil(deadline_).count()));
    return SocketImpl::receiveBytes(buffer, length, flags);
}

} // namespace Balsammill::Detail
