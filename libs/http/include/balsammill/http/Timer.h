#pragma once

#include "balsammill/base/SuspendAwareClock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace Balsammill {

/// Timer of an event loop on the clock of all deadlines. The system's wait for it does not count a suspension of the
/// VM: after one, the timer fires when the loop next wakes up for a timer, which need not be this one.
using Timer = boost::asio::basic_waitable_timer<SuspendAwareClock>;

} // namespace Balsammill
