#include "SocketClose.h"

#include "balsammill/base/Log.h"

#include <future>
#include <memory>
#include <thread>

namespace Balsammill::Detail {

bool closeSocket(nng_socket socket, Duration timeout)
{
    auto closed = std::make_shared<std::promise<void>>();
    auto done = closed->get_future();
    std::thread([socket, closed] {
        nng_close(socket);
        closed->set_value();
    }).detach();
    if (done.wait_for(timeout) == std::future_status::ready)
        return true;
    if (timeout > Duration::zero())
        logWarning(LogComponent::Peer, "Closing a peer socket timed out; the socket is abandoned.");
    return false;
}

} // namespace Balsammill::Detail
