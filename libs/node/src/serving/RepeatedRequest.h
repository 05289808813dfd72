#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/http/HttpMessages.h"
#include "balsammill/http/Timer.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>

namespace Balsammill {

/// Sends copies of one request until one of them is answered. The request must do no harm when it is carried out more
/// than once.
class RepeatedRequest : public std::enable_shared_from_this<RepeatedRequest> {
public:
    struct Options {
        /// Sends one copy, numbered from 0, which has to be answered by the deadline. Returns false if no copy may be
        /// sent any more.
        std::function<bool(std::size_t copy, TimePoint deadline, HttpCallback)> sendCopy;
        Duration interval;
        TimePoint deadline;
    };

    /// The callback gets the first answer, or the last failure once no copy can be answered any more. It is not called
    /// if sendCopy drops the callback of a copy.
    static void send(boost::asio::io_context&, Options, HttpCallback);

    RepeatedRequest(boost::asio::io_context&, Options, HttpCallback);

private:
    void sendNext();
    void handleResult(HttpResult);
    void finish(HttpResult);

    Timer timer_;
    Options options_;
    HttpCallback callback_;
    std::size_t copies_ { 0 };
    std::size_t outstanding_ { 0 };
    bool neverSent_ { true };
};

} // namespace Balsammill
