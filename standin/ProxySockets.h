#pragma once

#include "FileDescriptor.h"

#include <cstdint>
#include <string>

namespace Balsammill::Standin {

/// Returns a non-blocking socket bound to 127.0.0.1. The port refuses connections until listenOn() is called. Throws
/// std::system_error.
FileDescriptor bindLoopback(std::uint16_t port);
std::uint16_t localPort(const FileDescriptor&);
/// Throws std::system_error.
void listenOn(const FileDescriptor&);
/// Accepts a pending connection. The result is not open if there is none.
FileDescriptor acceptFrom(const FileDescriptor&);
/// Starts a non-blocking connection to "host:port" with a numeric IPv4 host. Throws std::invalid_argument.
FileDescriptor connectTo(const std::string& address);
/// Called when poll() reports the socket of connectTo(). Returns false if the connection failed.
bool connectSucceeded(const FileDescriptor&);
/// Closes with a TCP reset.
void closeWithReset(FileDescriptor&);

} // namespace Balsammill::Standin
