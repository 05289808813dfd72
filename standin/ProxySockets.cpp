#include "ProxySockets.h"

#include <Poco/Net/SocketAddress.h>

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>

namespace Balsammill::Standin {

namespace {

constexpr int streamFlags = SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC;

[[noreturn]] void throwErrno(const char* what) { throw std::system_error(errno, std::generic_category(), what); }

void setNoDelay(int socket)
{
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

FileDescriptor bindLoopback(std::uint16_t port)
{
    FileDescriptor socket(::socket(AF_INET, streamFlags, 0));
    if (!socket.isOpen())
        throwErrno("socket");
    const int on = 1;
    ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const Poco::Net::SocketAddress address("127.0.0.1", port);
    if (::bind(socket.get(), address.addr(), address.length()) != 0)
        throwErrno("bind");
    return socket;
}

std::uint16_t localPort(const FileDescriptor& socket)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    if (::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throwErrno("getsockname");
    return ntohs(address.sin_port);
}

void listenOn(const FileDescriptor& socket)
{
    if (::listen(socket.get(), 1024) != 0)
        throwErrno("listen");
}

FileDescriptor acceptFrom(const FileDescriptor& listener)
{
    FileDescriptor socket(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.isOpen())
        setNoDelay(socket.get());
    return socket;
}

FileDescriptor connectTo(const std::string& text)
{
    const Poco::Net::SocketAddress address(text);
    FileDescriptor socket(::socket(AF_INET, streamFlags, 0));
    if (!socket.isOpen())
        throwErrno("socket");
    setNoDelay(socket.get());
    // connectSucceeded() reports an immediate failure in the same way as a later one.
    static_cast<void>(::connect(socket.get(), address.addr(), address.length()));
    return socket;
}

bool connectSucceeded(const FileDescriptor& socket)
{
    int error = 0;
    socklen_t length = sizeof error;
    return ::getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0;
}

void closeWithReset(FileDescriptor& socket)
{
    if (!socket.isOpen())
        return;
    const linger zeroLinger { .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &zeroLinger, sizeof zeroLinger);
    socket.reset();
}

} // namespace Balsammill::Standin
