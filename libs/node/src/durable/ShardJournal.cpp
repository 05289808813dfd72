#include "ShardJournal.h"

#include "balsammill/internal/shard.pb.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace Balsammill {

namespace {

constexpr auto journalTable = "jobs";
// Sorts before every job id, which is hexadecimal.
constexpr auto fenceKey = "!fence";
// The store answers within 10 ms, or in up to fifty times as long when it is slow.
constexpr Duration callTimeout = std::chrono::milliseconds(1000);
// Exponential backoff after failed calls.
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
constexpr Duration maxRetryDelay = std::chrono::milliseconds(400);
// A write that occupies the link for longer would delay the other traffic of this process.
constexpr Duration maxTransferTime = std::chrono::milliseconds(250);
// Other traffic shares the link.
constexpr int transferTimeSafetyFactor = 4;

std::optional<balsammill::internal::JournalFence> findFence(const std::vector<Platform::Row>& rows)
{
    for (const auto& row : rows) {
        balsammill::internal::JournalFence fence;
        if (row.key == fenceKey && !row.value.empty() && fence.ParseFromString(row.value))
            return fence;
    }
    return std::nullopt;
}

} // namespace

ShardJournal::ShardJournal(boost::asio::io_context& context, Platform::Store& store, const Shards::ShardName& shard,
    Epoch epoch, const Options& options)
    : store_(store)
    , retryTimer_(context)
    , partition_(shard.value)
    , epoch_(epoch)
    , stateRowBytes_(options.stateRowBytes)
    , linkMbps_(options.linkMbps)
    , alive_(std::make_shared<bool>(true))
{
}

ShardJournal::~ShardJournal() { *alive_ = false; }

Platform::Row ShardJournal::row(const std::string& key, const std::string& value) const
{
    return { .table = journalTable, .part = partition_, .key = key, .value = value, .version = {} };
}

Platform::Row ShardJournal::fenceRow(
    std::uint64_t batches, bool withinOpenLimits, Shards::RunNumber lastReservedRun) const
{
    balsammill::internal::JournalFence fence;
    fence.set_epoch(epoch_.value);
    fence.set_batches(batches);
    if (withinOpenLimits)
        fence.set_open_limit_row_bytes(stateRowBytes_);
    fence.set_last_reserved_run(lastReservedRun.value);
    auto result = row(fenceKey, fence.SerializeAsString());
    result.version = fenceVersion_;
    return result;
}

void ShardJournal::retryLater(void (ShardJournal::*action)())
{
    retryDelay_ = std::clamp(retryDelay_ * 2, initialRetryDelay, maxRetryDelay);
    retryTimer_.expires_after(retryDelay_);
    retryTimer_.async_wait([this, alive = alive_, action](const boost::system::error_code& error) {
        if (!error && *alive)
            (this->*action)();
    });
}

void ShardJournal::open(OpenCallback opened)
{
    opened_ = std::move(opened);
    readPage({});
}

void ShardJournal::readPage(const std::string& fromKey)
{
    if (fromKey.empty()) {
        rows_.clear();
        fenceVersion_ = {};
        withinOpenLimits_ = true;
        earlierRunsReserved_ = true;
        // The epoch bounds the blocks of all earlier owners, also if one of a former version has removed the field.
        runNumberFloor_ = Shards::RunNumber(epoch_.value * runNumberBlock);
    }
    store_.read({ .table = journalTable, .part = partition_, .from = fromKey }, monotonicNow() + callTimeout,
        [this, alive = alive_, fromKey](const auto& result) {
            if (!*alive)
                return;
            // A fence row that cannot be decoded may belong to a later owner.
            const bool fenceUnreadable = std::any_of(result.rows.begin(), result.rows.end(),
                [](const Platform::Row& each) { return each.key == fenceKey && each.malformedValue; });
            if (result.status != Platform::StoreStatus::Ok || fenceUnreadable) {
                // The pages before stay valid: a later change of the journal changes the fence row as well.
                nextPageKey_ = fromKey;
                retryLater(&ShardJournal::repeatPage);
                return;
            }
            retryDelay_ = Duration::zero();
            const auto fence = findFence(result.rows);
            if (fence && fence->epoch() > epoch_.value) {
                std::exchange(opened_, nullptr)(std::nullopt);
                return;
            }
            if (fence) {
                withinOpenLimits_ = fence->open_limit_row_bytes() == stateRowBytes_;
                earlierRunsReserved_ = fence->last_reserved_run() > 0;
                runNumberFloor_ = std::max(runNumberFloor_, Shards::RunNumber(fence->last_reserved_run()));
            }
            for (const auto& each : result.rows) {
                if (each.key == fenceKey)
                    fenceVersion_ = each.version;
                else
                    rows_.push_back({ .key = each.key, .value = each.value, .malformedValue = each.malformedValue });
            }
            if (result.hasMore && !result.rows.empty())
                readPage(result.rows.back().key + std::string(1, '\x01'));
            else
                writeFence();
        });
}

void ShardJournal::writeFence()
{
    // A write of a former owner after the pages were read changes the fence row, so that this conditional write fails.
    lastReservedRun_ = Shards::RunNumber(runNumberFloor_.value + runNumberBlock);
    const auto fence = fenceRow(0, withinOpenLimits_, lastReservedRun_);
    store_.write({ .conditions = { fence }, .puts = { fence } }, monotonicNow() + callTimeout,
        [this, alive = alive_](const Platform::RowsResult& result) {
            if (*alive)
                handleFenceWritten(result);
        });
}

void ShardJournal::handleFenceWritten(const Platform::RowsResult& result)
{
    if (result.status != Platform::StoreStatus::Ok) {
        // Reading the pages again shows whether the write took effect or another owner opened the journal first.
        retryLater(&ShardJournal::restartOpen);
        return;
    }
    retryDelay_ = Duration::zero();
    fenceVersion_ = result.version;
    std::exchange(opened_, nullptr)(std::exchange(rows_, {}));
}

void ShardJournal::write(const Write& write, WriteCallback written)
{
    pending_ = write;
    written_ = std::move(written);
    inDoubt_ = false;
    attempt();
}

Duration ShardJournal::transferTime(std::size_t bytes) const
{
    // A bandwidth of 1 Mbit/s transfers one bit in 1 us.
    return linkMbps_ > 0 ? Duration(static_cast<Duration::rep>(static_cast<double>(bytes) * 8 / linkMbps_))
                         : Duration::zero();
}

std::size_t ShardJournal::encodedBytes(const Write& write) const
{
    std::size_t bytes = 0;
    for (const auto& put : write.puts)
        bytes += Platform::encodedPutBytes(row(put.key, put.value));
    for (const auto& key : write.removals)
        bytes += Platform::encodedRemovalBytes(row(key, {}));
    return bytes;
}

std::size_t ShardJournal::maxWriteBytes() const
{
    constexpr auto max = std::numeric_limits<std::uint64_t>::max();
    const auto fence = fenceRow(max, true, Shards::RunNumber(max));
    const auto limit = Platform::maxTransactionBytes
        - Platform::encodeTransaction({ .conditions = { fence }, .puts = { fence } }).size();
    if (linkMbps_ <= 0)
        return limit;
    return std::min(limit, static_cast<std::size_t>(static_cast<double>(maxTransferTime.count()) * linkMbps_ / 8));
}

void ShardJournal::attempt()
{
    const auto fence
        = fenceRow(batches_ + 1, pending_.withinOpenLimits, std::max(lastReservedRun_, pending_.lastReservedRun));
    Platform::Transaction transaction { .conditions = { fence }, .puts = { fence } };
    for (const auto& put : pending_.puts)
        transaction.puts.push_back(row(put.key, put.value));
    for (const auto& key : pending_.removals)
        transaction.removals.push_back(row(key, {}));
    const auto timeout = callTimeout + transferTime(encodedBytes(pending_)) * transferTimeSafetyFactor;
    store_.write(transaction, monotonicNow() + timeout, [this, alive = alive_](const Platform::RowsResult& result) {
        if (*alive)
            handleWritten(result);
    });
}

void ShardJournal::handleWritten(const Platform::RowsResult& result)
{
    switch (result.status) {
    case Platform::StoreStatus::Ok:
        fenceVersion_ = result.version;
        finishWrite(Outcome::Written);
        return;
    case Platform::StoreStatus::Conflict: {
        const auto fence = findFence(result.rows);
        const bool done = fence && fence->epoch() == epoch_.value && fence->batches() == batches_ + 1;
        if (!done) {
            finishWrite(Outcome::Fenced);
            return;
        }
        // An earlier attempt at this write has taken effect.
        for (const auto& each : result.rows) {
            if (each.key == fenceKey)
                fenceVersion_ = each.version;
        }
        finishWrite(Outcome::Written);
        return;
    }
    case Platform::StoreStatus::Rejected:
        // Earlier attempts had the same content, so that they have not taken effect either. The number that they carry
        // is not used again: if one does take effect, the next write finds it and counts as fenced.
        if (inDoubt_)
            ++batches_;
        finishWrite(Outcome::Rejected);
        return;
    case Platform::StoreStatus::Refused:
    case Platform::StoreStatus::HistoryGone:
        if (!inDoubt_) {
            finishWrite(Outcome::Refused);
            return;
        }
        break;
    case Platform::StoreStatus::Unknown:
        inDoubt_ = true;
        break;
    }
    retryLater(&ShardJournal::attempt);
}

void ShardJournal::finishWrite(Outcome outcome)
{
    retryDelay_ = Duration::zero();
    if (outcome == Outcome::Written) {
        ++batches_;
        lastReservedRun_ = std::max(lastReservedRun_, pending_.lastReservedRun);
    }
    pending_ = {};
    std::exchange(written_, nullptr)(outcome);
}

} // namespace Balsammill
