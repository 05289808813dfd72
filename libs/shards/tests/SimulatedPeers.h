#pragma once

#include "SimulatedLink.h"

namespace Balsammill::Shards::Testing {

/// As PeerNetwork: the connections of a process.
class SimulatedPeers {
public:
    struct Handlers {
        /// Null if nothing listens there.
        std::function<std::shared_ptr<SimulatedWire>(int place)> connect;
        std::function<void(const std::shared_ptr<SimulatedLink>&, const PeerContent&)> message;
        std::function<void(const SimulatedLink&)> closed;
    };

    SimulatedPeers(SimulatedProcess&, Handlers);

    /// Null until the other process has answered on the connection.
    std::shared_ptr<SimulatedLink> linkTo(int place);
    std::shared_ptr<SimulatedLink> linkOf(const ProcessKey&);
    bool connectedTo(const ProcessKey& peer) { return linkOf(peer) != nullptr; }
    /// A process has connected; this one accepts when it runs.
    void enqueue(std::shared_ptr<SimulatedWire> wire) { incoming_.push_back(std::move(wire)); }
    void read();
    void advance();
    void sendStatus();
    /// The process ends.
    void closeAll();

private:
    struct Outbound {
        std::shared_ptr<SimulatedLink> link;
        int retryAt { 0 };
    };

    std::shared_ptr<SimulatedLink> add(std::shared_ptr<SimulatedWire>, int side);
    void handle(const std::shared_ptr<SimulatedLink>&, const SimulatedWire::Message&);
    void close(const std::shared_ptr<SimulatedLink>&);
    std::vector<std::shared_ptr<SimulatedLink>> openLinks();

    SimulatedProcess& process_;
    Handlers handlers_;
    std::vector<std::shared_ptr<SimulatedWire>> incoming_;
    std::vector<std::shared_ptr<SimulatedLink>> links_;
    std::map<int, Outbound> outbound_;
    std::uint64_t lastLink_ { 0 };
};

} // namespace Balsammill::Shards::Testing
