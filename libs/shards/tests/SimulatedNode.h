#pragma once

#include "SimulatedOwner.h"
#include "SimulatedPeers.h"

#include <set>

namespace Balsammill::Shards::Testing {

/// One attempt of a client: its request on a connection of its own to an entry.
struct ClientAttempt {
    int client { 0 };
    int attempt { 0 };

    auto operator<=>(const ClientAttempt&) const = default;
};

/// An entry process, as JobClient and ShardOwnership: it takes the requests of clients and owns shards.
class SimulatedNode {
public:
    struct Handlers {
        std::function<std::shared_ptr<SimulatedWire>(const ProcessKey& from, int place)> connect;
        std::function<void(const ClientAttempt&, OwnerResult)> answerClient;
    };

    SimulatedNode(SimulatedWorld&, const ProcessKey&, Handlers);

    void step();
    void stand(int milliseconds);
    bool stands() const { return process_.stands(); }
    /// The process ends; silently: no other process is told.
    void end(bool silently);
    const ProcessKey& key() const { return process_.key; }
    void enqueueConnection(std::shared_ptr<SimulatedWire> wire) { peers_.enqueue(std::move(wire)); }
    void enqueueRequest(const ClientAttempt&, std::shared_ptr<const JobSpec>, int arrivesAt);
    void enqueueClientClosed(const ClientAttempt&);
    /// No effect unless this process owns the shard and has read its journal.
    void submitDurable(int shard, const std::shared_ptr<const JobSpec>&);
    /// Reads the record of a shard from the store.
    void readRecord(int shard);

private:
    struct ClientEvent {
        int at { 0 };
        /// Null: the client has closed the connection.
        std::shared_ptr<const JobSpec> job;
    };
    struct Request {
        ClientAttempt client;
        std::shared_ptr<const JobSpec> job;
        int arrivedAt { 0 };
        bool waitsForOwner { false };
        int shard { -1 };
        std::set<int> triedShards {};
        std::weak_ptr<SimulatedLink> link {};
        int newOwner { -1 };
        int newOwnerDeadline { 0 };
        std::uint64_t ownerEpoch { 0 };
    };
    struct OutgoingHandOver {
        std::shared_ptr<const SimulatedHandOver> content;
        ShardRecord successor;
        int expiresAt { 0 };
    };
    struct EarlyConfirmation {
        int shard { 0 };
        int expiresAt { 0 };
    };

    void readClients();
    void runTimersAndInbox();
    void tick();
    void handleMessage(const std::shared_ptr<SimulatedLink>&, const PeerContent&);
    void handle(const std::shared_ptr<SimulatedLink>&, const StatusMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const SubmitMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const AnswerMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const CancelMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const MovedMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const ConfirmMessage&);
    void handle(const std::shared_ptr<SimulatedLink>&, const HandOverMessage&);
    template <typename Other> void handle(const std::shared_ptr<SimulatedLink>&, const Other&) { }
    void handleLinkClosed(const SimulatedLink&);
    void dispatch(std::uint64_t number);
    void cancel(std::uint64_t number);
    void handleMoved(std::uint64_t number, const MovedMessage&);
    void connectToNewOwner(std::uint64_t number, Request&);
    void handleAnswer(std::uint64_t number, OwnerResult);
    void answerClient(std::uint64_t number, OwnerResult);
    void answerInDoubt(std::uint64_t number);
    void sendStatus();
    void confirmLocal(int shard, std::uint64_t number);
    void expireEarlyConfirmations();
    void answerSubmitter(const SimulatedSubmitter&, OwnerResult);
    void notifyMoved(const SimulatedSubmitter&, int shard, int owner, std::uint64_t epoch);
    void handleRecordChange(int shard);
    void startOwner(int shard);
    void dropOwner(int shard, std::uint64_t epoch);
    bool sendHandOver(const OutgoingHandOver&);

    SimulatedProcess process_;
    Handlers handlers_;
    SimulatedPeers peers_;
    std::map<int, ShardRecord> records_;
    std::map<int, std::unique_ptr<SimulatedOwner>> owners_;
    std::map<std::uint64_t, Request> requests_;
    std::map<ClientAttempt, std::deque<ClientEvent>> clientEvents_;
    std::vector<OutgoingHandOver> outgoingHandOvers_;
    std::map<int, std::pair<ProcessKey, std::shared_ptr<const SimulatedHandOver>>> earlyHandOvers_;
    std::map<SimulatedSubmitter, EarlyConfirmation> earlyConfirmations_;
    std::uint64_t lastRequest_ { 0 };
    int tickAt_ { 0 };
    int statusAt_ { 0 };
};

} // namespace Balsammill::Shards::Testing
