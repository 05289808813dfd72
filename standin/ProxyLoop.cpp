#include "ProxyLoop.h"

#include "ProxySockets.h"

#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <sys/eventfd.h>
#include <system_error>

namespace Balsammill::Standin {

namespace {

/// Waits until a socket is ready or the time is reached.
void pollUntil(std::vector<pollfd>& polls, std::optional<TimePoint> until)
{
    timespec timeout {};
    if (until) {
        const auto left = std::max<Duration>(*until - monotonicNow(), Duration::zero()).count();
        timeout = { .tv_sec = left / 1'000'000, .tv_nsec = left % 1'000'000 * 1000 };
    }
    if (::ppoll(polls.data(), polls.size(), until ? &timeout : nullptr, nullptr) < 0 && errno != EINTR)
        throw std::system_error(errno, std::generic_category(), "ppoll");
}

} // namespace

ProxyLoop::ProxyLoop(std::uint64_t seed)
    : wakeEvent_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , random_(seed)
    , thread_([this] { run(); })
{
}

ProxyLoop::~ProxyLoop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake();
    thread_.join();
}

void ProxyLoop::wake() const { ::eventfd_write(wakeEvent_.get(), 1); }

std::uint16_t ProxyLoop::addRoute(const std::string& name, const std::string& target)
{
    Route route;
    // Throws here, and not at the first connection, if the target is not an address.
    route.target = Poco::Net::SocketAddress(target).toString();
    route.portReservation = bindLoopback(0);
    route.port = localPort(route.portReservation);
    route.listener = bindLoopback(route.port);
    listenOn(route.listener);
    const auto port = route.port;
    {
        std::lock_guard lock(mutex_);
        if (!routes_.try_emplace(name, std::move(route)).second)
            throw std::invalid_argument("route \"" + name + "\" already exists");
        ++generation_;
    }
    wake();
    return port;
}

void ProxyLoop::setFaults(const std::string& name, const RouteFaults& faults)
{
    std::unique_lock lock(mutex_);
    auto& route = routes_.at(name);
    route.faults = faults;
    for (auto& connection : route.connections)
        connection.onFaultsChanged(faults);
    if (faults.cut) {
        route.listener.reset();
    } else if (!route.listener.isOpen()) {
        route.listener = bindLoopback(route.port);
        listenOn(route.listener);
    }
    const auto generation = ++generation_;
    wake();
    pollReturned_.wait(lock, [&] { return polledGeneration_ >= generation; });
}

std::map<std::string, RouteCounters> ProxyLoop::counters()
{
    std::lock_guard lock(mutex_);
    std::map<std::string, RouteCounters> all;
    for (auto& [name, route] : routes_) {
        all[name] = route.counters;
        all[name].open = route.connections.size();
    }
    return all;
}

void ProxyLoop::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto now = monotonicNow();
        auto polls = makePollEntries(now);
        const auto until = nextDelivery(now);
        const auto generation = generation_;
        lock.unlock();
        pollUntil(polls, until);
        eventfd_t wakeCount = 0;
        ::eventfd_read(wakeEvent_.get(), &wakeCount);
        lock.lock();
        polledGeneration_ = generation_;
        pollReturned_.notify_all();
        if (generation == generation_)
            processEvents(polls, monotonicNow());
    }
}

std::vector<pollfd> ProxyLoop::makePollEntries(TimePoint now)
{
    std::vector<pollfd> polls { { .fd = wakeEvent_.get(), .events = POLLIN, .revents = 0 } };
    for (auto& [name, route] : routes_) {
        route.connections.remove_if([](const ProxyConnection& connection) { return connection.isClosed(); });
        polls.push_back({ .fd = route.listener.get(), .events = POLLIN, .revents = 0 });
        for (const auto& connection : route.connections)
            connection.appendPollEntries(polls, now, route.faults);
    }
    return polls;
}

std::optional<TimePoint> ProxyLoop::nextDelivery(TimePoint now) const
{
    std::optional<TimePoint> next;
    for (const auto& [name, route] : routes_) {
        for (const auto& connection : route.connections) {
            const auto time = connection.nextDelivery(now, route.faults);
            if (time && (!next || *time < *next))
                next = time;
        }
    }
    return next;
}

void ProxyLoop::processEvents(const std::vector<pollfd>& polls, TimePoint now)
{
    const auto* entry = polls.data() + 1;
    for (auto& [name, route] : routes_) {
        const auto* listenerEntry = entry++;
        // In the order of makePollEntries(). New connections are accepted last, because they have no poll entries yet.
        for (auto& connection : route.connections) {
            connection.processEvents(entry, now, route.faults, random_);
            entry += 2;
        }
        if (listenerEntry->revents != 0)
            acceptPending(route);
    }
}

void ProxyLoop::acceptPending(Route& route)
{
    for (auto client = acceptFrom(route.listener); client.isOpen(); client = acceptFrom(route.listener)) {
        ++route.counters.accepted;
        route.connections.emplace_back(std::move(client), connectTo(route.target));
    }
}

} // namespace Balsammill::Standin
