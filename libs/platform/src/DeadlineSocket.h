#pragma once

#include "balsammill/base/Units.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <cstddef>

namespace Balsammill::Detail {

/// Socket whose every operation ends at one deadline, and that counts the bytes that the kernel accepted.
///
/// POCO's own timeouts restart with each received byte, so a peer that answers slowly could hold a caller for ever.
class DeadlineSocket : public Poco::Net::StreamSocketImpl {
public:
    explicit DeadlineSocket(TimePoint deadline);

    /// Throws Poco::TimeoutException after the deadline, Poco::Net::NetException on errors.
    int sendBytes(const void* buffer, int length, int flags) override;
    int receiveBytes(void* buffer, int length, int flags) override;

    std::size_t sentBytes() const { return sentBytes_; }

protected:
    ~DeadlineSocket() override = default;

private:
    TimePoint deadline_;
    std::size_t sentBytes_ { 0 };
};

/// Time left until the deadline; never less than 1 ms, because POCO reads zero as "no timeout".
Duration remainingUntil(TimePoint deadline);

} // namespace Balsammill::Detail
