#include "PeerLink.h"

#include "SocketClose.h"
#include "balsammill/base/Log.h"

#include <nng/protocol/pipeline0/push.h>

#include <cstring>
#include <mutex>
#include <stdexcept>
#include <string>
#include <unordered_map>

namespace Balsammill::Detail {

namespace {

// Messages queued for transmission. If the peer does not read, the queue fills up and further sends are rejected.
constexpr int sendQueueCapacity = 1024;
constexpr Duration closeTimeout = std::chrono::milliseconds(200);
constexpr nng_duration minReconnectMs = 50;
constexpr nng_duration maxReconnectMs = 500;

using PipeId = std::shared_ptr<std::atomic<int>>;

/// Maps keys to the targets of nng pipe callbacks. nng may still run a callback while its socket is being closed, so a
/// callback receives a key to look up instead of a pointer, which could dangle.
class CallbackTargets {
public:
    std::uintptr_t add(PipeId target)
    {
        std::lock_guard lock(mutex_);
        targets_.emplace(++lastKey_, std::move(target));
        return lastKey_;
    }

    void remove(std::uintptr_t key)
    {
        std::lock_guard lock(mutex_);
        targets_.erase(key);
    }

    PipeId find(std::uintptr_t key)
    {
        std::lock_guard lock(mutex_);
        const auto found = targets_.find(key);
        return found == targets_.end() ? nullptr : found->second;
    }

private:
    std::mutex mutex_;
    std::unordered_map<std::uintptr_t, PipeId> targets_;
    std::uintptr_t lastKey_ { 0 };
};

CallbackTargets& callbackTargets()
{
    // Never destroyed, because nng's threads outlive the destructors of static objects.
    static auto* targets = new CallbackTargets;
    return *targets;
}

void onPipeEvent(nng_pipe pipe, nng_pipe_ev event, void* argument)
{
    const auto pipeId = callbackTargets().find(reinterpret_cast<std::uintptr_t>(argument));
    if (!pipeId)
        return;
    int eventPipeId = nng_pipe_id(pipe);
    if (event == NNG_PIPE_EV_ADD_POST)
        pipeId->store(eventPipeId);
    else
        pipeId->compare_exchange_strong(eventPipeId, 0);
}

} // namespace

PeerLink::PeerLink(NetworkAddress address)
    : address_(std::move(address))
    , pipeId_(std::make_shared<std::atomic<int>>(0))
{
    if (const int error = nng_push0_open(&socket_); error != 0)
        throw std::runtime_error(std::string("cannot open a peer socket: ") + nng_strerror(error));
    callbackKey_ = callbackTargets().add(pipeId_);
    auto* argument = reinterpret_cast<void*>(callbackKey_); // NOLINT(performance-no-int-to-ptr): key of CallbackTargets
    nng_pipe_notify(socket_, NNG_PIPE_EV_ADD_POST, onPipeEvent, argument);
    nng_pipe_notify(socket_, NNG_PIPE_EV_REM_POST, onPipeEvent, argument);
    nng_socket_set_int(socket_, NNG_OPT_SENDBUF, sendQueueCapacity);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, minReconnectMs);
    nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, maxReconnectMs);
    // An invalid address in the VM list must not terminate the process; the link stays disconnected.
    if (const int error = nng_dial(socket_, ("tcp://" + address_.value).c_str(), nullptr, NNG_FLAG_NONBLOCK))
        logWarning(LogComponent::Peer, "Cannot dial '" + address_.value + "': " + nng_strerror(error));
}

PeerLink::~PeerLink()
{
    closeSocket(socket_, closeTimeout);
    callbackTargets().remove(callbackKey_);
}

bool PeerLink::send(std::string_view bytes)
{
    if (pipeId_->load() == 0)
        return false;
    nng_msg* message = nullptr;
    if (nng_msg_alloc(&message, bytes.size()) != 0)
        return false;
    std::memcpy(nng_msg_body(message), bytes.data(), bytes.size());
    // On failure nng does not take ownership of the message.
    if (nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) != 0) {
        nng_msg_free(message);
        return false;
    }
    return true;
}

} // namespace Balsammill::Detail
