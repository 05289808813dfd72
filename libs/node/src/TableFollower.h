#pragma once

#include "platform/Store.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Balsammill {

/// Keeps a copy of one table of the store: reads it whole, then follows its changes, and reads it whole again if the
/// store has dropped the history in between.
class TableFollower {
public:
    struct Handlers {
        /// A row is new or has changed.
        std::function<void(const Platform::Row&)> changed;
        std::function<void(const std::string& key)> removed;
        /// The store stopped or began to answer; the reason is empty when it answers again.
        std::function<void(bool answering, const std::string& reason)> answering;
    };

    /// pause: least time between a change and the next request, which bundles changes of busy tables.
    TableFollower(boost::asio::io_context&, Platform::Store&, std::string table, Duration pause, Handlers);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    /// True once the whole table has been read.
    bool loaded() const { return loaded_; }
    /// When the store last confirmed that the copy is current.
    TimePoint currentAt() const { return currentAt_; }
    /// When the store last failed to answer.
    TimePoint failedAt() const { return failedAt_; }

private:
    void load(const std::string& fromKey);
    void finishLoad(Platform::RowVersion);
    void follow();
    void followAfter(Duration);
    void apply(const Platform::Row&);
    void fail(const std::string& reason);
    void succeed();

    Platform::Store& store_;
    boost::asio::steady_timer retryTimer_;
    std::string table_;
    Duration pause_;
    Handlers handlers_;
    std::map<std::string, Platform::RowVersion> rows_;
    std::map<std::string, Platform::RowVersion> loading_;
    Platform::RowVersion version_;
    Platform::RowVersion loadVersion_;
    TimePoint currentAt_ {};
    TimePoint failedAt_ {};
    Duration retryDelay_ {};
    bool loaded_ { false };
    bool answering_ { true };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
