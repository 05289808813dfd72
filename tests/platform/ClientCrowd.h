#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace PlatformTest {

/// Many connections to one entry that send bytes without reading any answer.
class ClientCrowd {
public:
    ClientCrowd(std::uint16_t port, std::size_t connections);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    /// Sends the opening bytes and then the repeated ones on each connection, until it has sent this many bytes, the
    /// entry has closed it, or the entry accepts no more bytes on any connection.
    void send(const std::string& opening, const std::string& repeated, std::size_t bytesPerConnection);

private:
    struct Connection {
        int descriptor { -1 };
        std::size_t sent { 0 };
    };
    std::vector<Connection> connections_;
};

/// Peak of the resident memory of a process in bytes; 0 if it has ended.
std::size_t peakMemory(pid_t);
/// Number of open descriptors of a process; 0 if it has ended.
std::size_t openDescriptors(pid_t);

} // namespace PlatformTest
