#pragma once

#include "balsammill/http/Timer.h"
#include "platform/Store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Balsammill {

/// Keeps a local copy of one table of the store: loads the whole table, then follows its changes. Reloads the table if
/// the store no longer has the change history since the last read.
class TableFollower {
public:
    struct Handlers {
        /// Called when a row is new or has changed.
        std::function<void(const Platform::Row&)> changed;
        std::function<void(const std::string& key)> removed;
        /// Called when the store stops answering or answers again; in the second case the reason is empty.
        std::function<void(bool available, const std::string& reason)> availabilityChanged;
    };

    /// followDelay: delay before the next request after a change, so that changes of busy tables are read in batches.
    TableFollower(boost::asio::io_context&, Platform::Store&, std::string table, Duration followDelay, Handlers);
    ~TableFollower();
    TableFollower(const TableFollower&) = delete;
    TableFollower& operator=(const TableFollower&) = delete;

    void start();
    /// True once the whole table has been loaded.
    bool loaded() const { return loaded_; }
    /// Time of the last answer that confirmed the copy as up to date.
    TimePoint currentAt() const { return currentAt_; }
    /// Time of the last failed call.
    TimePoint lastFailureAt() const { return lastFailureAt_; }

private:
    void load(const std::string& fromKey);
    void finishLoad(Platform::RowVersion);
    void follow();
    void followAfter(Duration);
    void apply(const Platform::Row&);
    void handleFailure(const std::string& reason);
    void handleSuccess();

    Platform::Store& store_;
    Timer retryTimer_;
    std::string table_;
    Duration followDelay_;
    Handlers handlers_;
    std::map<std::string, Platform::RowVersion> rows_;
    std::map<std::string, Platform::RowVersion> loading_;
    Platform::RowVersion version_;
    Platform::RowVersion loadVersion_;
    TimePoint currentAt_ {};
    TimePoint lastFailureAt_ {};
    Duration retryDelay_ {};
    bool loaded_ { false };
    bool available_ { true };
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
