#include "TableFollower.h"

#include <algorithm>

namespace Balsammill {

namespace {

// Long-poll time and the additional time allowed for the response. A dead connection is detected after their sum, well
// within the time in which a configuration change has to take effect.
constexpr Duration longPollTime = std::chrono::milliseconds(1000);
constexpr Duration longPollMargin = std::chrono::milliseconds(400);
constexpr Duration readTimeout = std::chrono::milliseconds(1000);
// Exponential backoff after failed calls.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);

} // namespace

TableFollower::TableFollower(boost::asio::io_context& context, Platform::Store& store, std::string table,
    Duration followDelay, Handlers handlers)
    : store_(store)
    , retryTimer_(context)
    , table_(std::move(table))
    , followDelay_(followDelay)
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
                handleFailure(result.error);
                return;
            }
            // Pages are read one after another, so changes are followed from the version of the first page.
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
    std::vector<std::string> removedKeys;
    for (const auto& [key, ignored] : rows_) {
        if (!loading_.contains(key))
            removedKeys.push_back(key);
    }
    for (const auto& key : removedKeys) {
        rows_.erase(key);
        handlers_.removed(key);
    }
    version_ = version;
    loaded_ = true;
    currentAt_ = monotonicNow();
    handleSuccess();
    follow();
}

void TableFollower::follow()
{
    const auto now = monotonicNow();
    store_.follow(table_, version_, longPollTime, now + longPollTime + longPollMargin,
        [this, alive = alive_](const auto& result) {
            if (!*alive)
                return;
            if (result.status == Platform::StoreStatus::HistoryGone) {
                load({});
                return;
            }
            if (result.status != Platform::StoreStatus::Ok) {
                handleFailure(result.error);
                return;
            }
            for (const auto& row : result.rows)
                apply(row);
            version_ = std::max(version_, result.version);
            currentAt_ = monotonicNow();
            handleSuccess();
            if (result.rows.empty() || followDelay_ == Duration::zero())
                follow();
            else
                followAfter(followDelay_);
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
    auto& knownVersion = rows_[row.key];
    if (knownVersion >= row.version)
        return;
    knownVersion = row.version;
    handlers_.changed(row);
}

void TableFollower::handleFailure(const std::string& reason)
{
    lastFailureAt_ = monotonicNow();
    if (available_) {
        available_ = false;
        handlers_.availabilityChanged(false, reason);
    }
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    followAfter(retryDelay_);
}

void TableFollower::handleSuccess()
{
    retryDelay_ = Duration::zero();
    if (!available_) {
        available_ = true;
        handlers_.availabilityChanged(true, {});
    }
}

} // namespace Balsammill
