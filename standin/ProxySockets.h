#pragma once

#include "FileDescriptor.h"

#include <cstdint>
#include <string>

namespace Balsammill::Standin {

/// Non-blocking socket bound to 127.0.0.1, which refuses connections until it listens. Throws std::system_error.
FileDescriptor bindLoopback(std::uint16_t port);
std::uint16_t localPort(const FileDescriptor&);
/// Throws std::system_error.
void listenOn(const FileDescriptor&);
/// Invalid if no connection waits.
FileDescriptor acceptFrom(const FileDescriptor&);
/// Starts a non-blocking connection to "host:port" with a numeric IPv4 host. Throws std::invalid_argument.
FileDescriptor connectTo(const std::string& address);
/// True once a connection that was being made is open; false if it failed.
bool connectSucceeded(const FileDescriptor&);
/// Closes with a TCP reset.
void closeWithReset(FileDescriptor&);

} // namespace Balsammill::Standin
