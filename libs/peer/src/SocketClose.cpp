#include "SocketClose.h"

#include "balsammill/base/Log.h"

#include <future>
#include <memory>
#include <thread>

namespace Balsammill::Detail {

bool closeSocket(nng_socket socket, Duration limit)
{
    auto closed = std::make_shared<std::promise<void>>();
    auto done = closed->get_future();
    std::thread([socket, closed] {
        nng_close(socket);
        closed->set_value();
    }).detach();
    if (done.wait_for(limit) == std::future_status::ready)
        return true;
    if (limit > Duration::zero())
        logWarning(LogPart::Peer, "A peer socket could not be closed in time and is given up.");
    return false;
}

} // namespace Balsammill::Detail
