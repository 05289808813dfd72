#pragma once

#include "ProxyConnection.h"

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace Balsammill::Standin {

struct RouteCounters {
    std::uint64_t accepted { 0 };
    std::uint64_t open { 0 };
};

/// Forwards the connections of all routes in one thread. Public functions are thread-safe.
class ProxyLoop {
public:
    explicit ProxyLoop(std::uint64_t seed);
    ~ProxyLoop();

    /// Starts to listen for the route and returns its port. Throws if the name is in use or the target is not an
    /// address.
    std::uint16_t addRoute(const std::string& name, const std::string& target);
    /// Returns when the faults are in effect. Throws std::out_of_range for an unknown route.
    void setFaults(const std::string& name, const RouteFaults&);
    std::map<std::string, RouteCounters> counters();

private:
    struct Route {
        std::string target;
        /// Bound to the port to reserve it while the route is cut and has no listener.
        FileDescriptor portReservation;
        FileDescriptor listener;
        std::uint16_t port { 0 };
        RouteFaults faults;
        RouteCounters counters;
        std::list<ProxyConnection> connections;
    };

    void run();
    std::vector<pollfd> makePollEntries(TimePoint now);
    std::optional<TimePoint> nextDelivery(TimePoint now) const;
    void processEvents(const std::vector<pollfd>& polls, TimePoint now);
    static void acceptPending(Route&);
    void wake() const;

    std::mutex mutex_;
    std::map<std::string, Route> routes_;
    bool stopping_ { false };
    /// Incremented with every change of the routes, which invalidates the poll entries made before.
    std::uint64_t generation_ { 0 };
    /// Generation at the last return from poll(). A socket that is closed during poll() stays open until poll()
    /// returns.
    std::uint64_t polledGeneration_ { 0 };
    std::condition_variable pollReturned_;
    FileDescriptor wakeEvent_;
    std::mt19937_64 random_;
    std::thread thread_;
};

} // namespace Balsammill::Standin
