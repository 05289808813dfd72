#pragma once

#include "LoopThread.h"

#include "balsammill/http/HttpServer.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Standin {

/// The operators' store by its published protocol: versioned rows, conditional writes, and a feed of changes. It can be
/// made to refuse every call, to lose answers of writes that it has done, and to forget its history.
class OperatorStore {
public:
    explicit OperatorStore(LoopThread&);
    ~OperatorStore();

    std::string address() const { return address_; }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Empty if there is no such row.
    std::string valueOf(const std::string& table, const std::string& key);
    void setDown(bool down);
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

    void handle(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleWrite(const Balsammill::HttpRequest&, const std::shared_ptr<Balsammill::HttpExchange>&);
    void handleRead(const std::map<std::string, std::string>& query, Balsammill::HttpExchange&);
    void handleFeed(const std::map<std::string, std::string>& query, const std::shared_ptr<Balsammill::HttpExchange>&);
    /// Rows of a table that changed after the version; of one part, or of all if there is none.
    std::string changesAfter(
        const std::string& table, std::uint64_t after, const std::optional<std::string>& part) const;
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
    bool down_ { false };
};

} // namespace Standin
