#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Standin {

/// How a store misbehaves.
struct StoreFaults {
    /// Every call is answered with 503 and has no effect.
    bool outage { false };
    /// Share of writes that take effect and are not answered.
    double loseAnswers { 0 };
    /// A delayed write takes effect after its delay, so perhaps when its sender has given up waiting.
    std::chrono::milliseconds writeDelay {};
    std::chrono::milliseconds readDelay {};
    /// Each answer comes up to this much later, so that answers overtake each other.
    std::chrono::milliseconds answerJitter {};
    /// 0 means unlimited. Writes over the limit are refused.
    double writesPerSecond { 0 };
};

/// The operators' store by its published protocol: versioned rows, conditional writes, and a feed of changes. It can be
/// made to refuse every call, to delay calls, to lose answers of writes that it has done, and to forget its history.
///
/// Tests in other processes use "PUT /control/rows/TABLE/KEY" (the value is the body) and "DELETE" on the same path to
/// write as the platform and its operators do, and "PUT /control/faults" with the fields of StoreFaults.
class OperatorStore {
public:
    struct Options {
        std::uint16_t port { 0 };
        /// Of the lost answers.
        std::uint64_t seed { 1 };
    };

    explicit OperatorStore(LoopThread&);
    OperatorStore(LoopThread&, const Options&);
    ~OperatorStore();

    std::string address() const { return address_; }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Empty if there is no such row.
    std::string valueOf(const std::string& table, const std::string& key);
    void setFaults(const StoreFaults&);
    void setDown(bool down) { setFaults({ .outage = down }); }
    /// The next writes are done and not answered.
    void loseAnswers(int writes);
    void forgetHistory();
    std::uint64_t writes();

private:
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool deleted { false };
    };
    struct Waiter {
        std::string table;
        std::uint64_t after { 0 };
        std::shared_ptr<Balsammill::HttpExchange> exchange;
    };
    struct Key {
        std::string table;
        std::string part;
        std::string key;

        auto operator<=>(const Key&) const = default;
    };

    using Exchange = std::shared_ptr<Balsammill::HttpExchange>;

    void handle(const Balsammill::HttpRequest&, const Exchange&);
    void handleControl(const Balsammill::HttpRequest&, const std::string& path, Balsammill::HttpExchange&);
    void handleCall(const Balsammill::HttpRequest&, const std::string& path, const Exchange&);
    bool writeIsOverRate();
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    void setRow(const std::string& table, const std::string& key, const std::string& value, bool deleted);
    void handleWrite(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleRead(const std::map<std::string, std::string>& query, Balsammill::HttpExchange&);
    void handleFeed(const std::map<std::string, std::string>& query, const std::shared_ptr<Balsammill::HttpExchange>&);
    std::string changesAfter(const std::string& table, std::uint64_t after) const;
    void wakeWaiters();

    LoopThread& loop_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<Key, Row> rows_;
    std::vector<Waiter> waiters_;
    std::uint64_t version_ { 0 };
    std::uint64_t oldestKnown_ { 0 };
    std::uint64_t writes_ { 0 };
    int lostAnswers_ { 0 };
    StoreFaults faults_;
    std::mt19937_64 random_;
    // When the next write is within the rate.
    std::chrono::steady_clock::time_point nextWriteAt_ {};
};

} // namespace Standin
