#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <rapidjson/document.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Standin {

/// Faults that the store injects.
struct StoreFaults {
    /// Every call is answered with status 503 and has no effect.
    bool outage { false };
    /// Share of the writes, from 0 to 1, that take effect but are not answered.
    double loseAnswers { 0 };
    /// A write takes effect after this delay, possibly after its sender has timed out.
    std::chrono::milliseconds writeDelay {};
    std::chrono::milliseconds readDelay {};
    /// Upper bound of a random delay of each answer, so that answers arrive out of order.
    std::chrono::milliseconds answerJitter {};
    /// Writes above this rate are refused with status 429; 0 means unlimited.
    double writesPerSecond { 0 };
    /// Each read with this position is answered with status 503; 0 for none.
    std::uint64_t refuseEveryNthRead { 0 };
    /// Transactions that put a row whose key contains this text are answered with status 400; empty for none.
    std::string rejectedKey {};
};

/// Stand-in for the operators' store that implements its published protocol: versioned rows, conditional writes and a
/// change feed. Transactions beyond the limits of the protocol are answered with status 400. It can refuse every call,
/// delay calls, drop the answers of writes that took effect, and discard its change history.
///
/// Tests in other processes use "PUT /control/rows/TABLE/KEY" (the value is the body) and "DELETE" on the same path to
/// write rows as the platform and its operators do, and "PUT /control/faults" with a JSON object of "outage",
/// "lose_answers", "write_delay_ms", "read_delay_ms" and "writes_per_second". Absent members keep their values.
class OperatorStore {
public:
    struct Options {
        std::uint16_t port { 0 };
        /// Seed of the choice of lost answers and of the answer jitter.
        std::uint64_t seed { 1 };
        /// Largest value of a row, in bytes of its base64 form.
        std::size_t rowBytes { 65'536 };
    };

    explicit OperatorStore(LoopThread&);
    OperatorStore(LoopThread&, const Options&);
    ~OperatorStore();

    std::string address() const { return address_; }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Returns an empty string if there is no such row.
    std::string valueOf(const std::string& table, const std::string& key);
    void setFaults(const StoreFaults&);
    void setOutage(bool down) { setFaults({ .outage = down }); }
    /// The given number of following writes take effect but are not answered.
    void dropNextAnswers(int writes);
    /// Feed requests that start before the current version are then answered with status 410.
    void discardHistory();
    std::uint64_t writes();
    /// Number of transactions that were answered with status 400.
    std::uint64_t rejectedWrites();
    /// Base64 bytes of the largest value that was written to a row whose key contains this text.
    std::size_t largestValue(const std::string& keyPart);

private:
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
        bool deleted { false };
    };
    struct FeedWaiter {
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
    bool exceedsWriteRate();
    void runAfter(std::chrono::milliseconds delay, std::function<void()> action);
    void setRow(const std::string& table, const std::string& key, const std::string& value, bool deleted);
    void handleWrite(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    /// Why a transaction is beyond the limits of the protocol or rejected by the faults; empty if it is not.
    std::string rejectionOf(const Balsammill::HttpRequest&, const rapidjson::Document&) const;
    void handleRead(const std::map<std::string, std::string>& query, Balsammill::HttpExchange&);
    void handleFeed(const std::map<std::string, std::string>& query, const std::shared_ptr<Balsammill::HttpExchange>&);
    std::string changesAfter(const std::string& table, std::uint64_t after) const;
    void answerFeedWaiters();

    LoopThread& loop_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<Key, Row> rows_;
    std::vector<FeedWaiter> feedWaiters_;
    std::uint64_t version_ { 0 };
    std::uint64_t oldestFeedVersion_ { 0 };
    std::uint64_t writes_ { 0 };
    std::uint64_t rejectedWrites_ { 0 };
    std::uint64_t reads_ { 0 };
    std::size_t rowBytes_;
    std::map<std::string, std::size_t> largestValues_;
    int answersToDrop_ { 0 };
    StoreFaults faults_;
    std::mt19937_64 random_;
    // Scheduled time of the next write at the permitted rate. Writes are refused while it is more than 1 s ahead.
    std::chrono::steady_clock::time_point nextWriteAt_ {};
};

} // namespace Standin
