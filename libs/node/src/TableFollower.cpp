#include "TableFollower.h"

#include <algorithm>

namespace Balsammill {

namespace {

// A connection that went silent is noticed after the wait and the slack, well within the time in which a change of the
// configuration has to be in force.
constexpr Duration followWait = std::chrono::milliseconds(1000);
constexpr Duration followSlack = std::chrono::milliseconds(400);
constexpr Duration readTimeout = std::chrono::milliseconds(1000);
// Pause after a failed call; doubled up to the longest while the store does not answer.
constexpr Duration firstRetryDelay = std::chrono::milliseconds(50);
constexpr Duration longestRetryDelay = std::chrono::milliseconds(400);

} // namespace

TableFollower::TableFollower(
    boost::asio::io_context& context, Platform::Store& store, std::string table, Duration pause, Handlers handlers)
    : store_(store)
    , retryTimer_(context)
    , table_(std::move(table))
    , pause_(pause)
    , handlers_(std::move(handlers))
    , alive_(std::make_shared<bool>(true))
{
}

TableFollower::~TableFollower() { *alive_ = false; }

void TableFollower::start() { load({}); }

void TableFollower::load(const std::string& fromKey)
{
    if (fromKey.empty())
        loading_.clear();
    store_.read({ .table = table_, .from = fromKey }, monotonicNow() + readTimeout,
        [this, alive = alive_, fromKey](const auto& result) {
            if (!*alive)
                return;
            if (result.status != Platform::StoreStatus::Ok) {
                fail(result.error);
                return;
            }
            // Pages are read one after the other; changes are followed from the version of the first.
            if (fromKey.empty())
                loadVersion_ = result.version;
            for (const auto& row : result.rows) {
                loading_[row.key] = row.version;
                apply(row);
            }
            if (result.hasMore && !result.rows.empty())
                load(result.rows.back().key + std::string(1, '\x01'));
            else
                finishLoad(loadVersion_);
        });
}

void TableFollower::finishLoad(Platform::RowVersion version)
{
    std::vector<std::string> gone;
    for (const auto& [key, ignored] : rows_) {
        if (!loading_.contains(key))
            gone.push_back(key);
    }
    for (const auto& key : gone) {
        rows_.erase(key);
        handlers_.removed(key);
    }
    version_ = version;
    loaded_ = true;
    currentAt_ = monotonicNow();
    succeed();
    follow();
}

void TableFollower::follow()
{
    const auto now = monotonicNow();
    store_.follow(
        table_, version_, followWait, now + followWait + followSlack, [this, alive = alive_](const auto& result) {
            if (!*alive)
                return;
            if (result.status == Platform::StoreStatus::HistoryGone) {
                load({});
                return;
            }
            if (result.status != Platform::StoreStatus::Ok) {
                fail(result.error);
                return;
            }
            for (const auto& row : result.rows)
                apply(row);
            version_ = std::max(version_, result.version);
            currentAt_ = monotonicNow();
            succeed();
            if (result.rows.empty() || pause_ == Duration::zero())
                follow();
            else
                followAfter(pause_);
        });
}

void TableFollower::followAfter(Duration delay)
{
    retryTimer_.expires_after(delay);
    retryTimer_.async_wait([this, alive = alive_](const boost::system::error_code& error) {
        if (error || !*alive)
            return;
        if (loaded_)
            follow();
        else
            load({});
    });
}

void TableFollower::apply(const Platform::Row& row)
{
    if (row.deleted) {
        if (rows_.erase(row.key) > 0)
            handlers_.removed(row.key);
        return;
    }
    auto& known = rows_[row.key];
    if (known >= row.version)
        return;
    known = row.version;
    handlers_.changed(row);
}

void TableFollower::fail(const std::string& reason)
{
    failedAt_ = monotonicNow();
    if (answering_) {
        answering_ = false;
        handlers_.answering(false, reason);
    }
    retryDelay_ = std::clamp(retryDelay_ * 2, firstRetryDelay, longestRetryDelay);
    followAfter(retryDelay_);
}

void TableFollower::succeed()
{
    retryDelay_ = Duration::zero();
    if (!answering_) {
        answering_ = true;
        handlers_.answering(true, {});
    }
}

} // namespace Balsammill
