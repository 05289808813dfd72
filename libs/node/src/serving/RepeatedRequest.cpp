#include "RepeatedRequest.h"

#include <utility>

namespace Balsammill {

RepeatedRequest::RepeatedRequest(boost::asio::io_context& context, Options options, HttpCallback callback)
    : timer_(context)
    , options_(std::move(options))
    , callback_(std::move(callback))
{
}

void RepeatedRequest::send(boost::asio::io_context& context, Options options, HttpCallback callback)
{
    std::make_shared<RepeatedRequest>(context, std::move(options), std::move(callback))->sendNext();
}

void RepeatedRequest::sendNext()
{
    ++outstanding_;
    const bool sent = options_.sendCopy(copies_++, options_.deadline,
        [self = shared_from_this()](HttpResult result) { self->handleResult(std::move(result)); });
    if (!sent) {
        --outstanding_;
        return;
    }
    const auto nextAt = monotonicNow() + options_.interval;
    if (nextAt >= options_.deadline)
        return;
    timer_.expires_at(nextAt);
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error && self->callback_)
            self->sendNext();
    });
}

void RepeatedRequest::handleResult(HttpResult result)
{
    --outstanding_;
    if (!callback_)
        return;
    neverSent_ = neverSent_ && result.neverSent;
    if (result.response || outstanding_ == 0)
        finish(std::move(result));
}

void RepeatedRequest::finish(HttpResult result)
{
    result.neverSent = neverSent_;
    timer_.cancel();
    std::exchange(callback_, nullptr)(std::move(result));
}

} // namespace Balsammill
