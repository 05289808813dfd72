#pragma once

#include "balsammill/http/Timer.h"
#include "balsammill/shards/Admission.h"
#include "platform/Store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Balsammill {

/// The rows of one shard's durable jobs in the store. Only the owner that opened the journal last can change it: every
/// write replaces the fence row, on the condition that the row has not changed since this owner's last write. The
/// condition also makes writes idempotent: a write without an answer can be repeated, since only one of the attempts
/// can take effect.
class ShardJournal {
public:
    struct Row {
        std::string key;
        std::string value;
        /// The row's value could not be decoded.
        bool malformedValue { false };
    };
    struct Write {
        std::vector<Row> puts {};
        std::vector<std::string> removals {};
        /// Each job has at most as many open occurrences as the limits for rows of stateRowBytes permit.
        bool withinOpenLimits { true };
        /// Reserves the run numbers up to this one; no effect if they are reserved already.
        Shards::RunNumber lastReservedRun {};
    };
    enum class Outcome {
        Written,
        /// The write has not taken effect and will not; the store does not accept writes at present.
        Refused,
        /// The write has not taken effect and will not; the store rejects it because of its content.
        Rejected,
        /// Another owner has opened the journal.
        Fenced,
    };
    /// Run numbers that open() reserves for the new owner, and by which a reservation should be extended.
    static constexpr std::uint64_t runNumberBlock = 256;
    /// Entries of each transaction for the fence row: a condition and a put.
    static constexpr std::size_t fenceEntries = 2;
    /// Receives the rows; empty if a later owner has opened the journal.
    using OpenCallback = std::function<void(const std::optional<std::vector<Row>>&)>;
    using WriteCallback = std::function<void(Outcome)>;

    struct Options {
        /// Largest value of a row, from which the limits of open occurrences follow.
        std::size_t stateRowBytes { 0 };
        /// Bandwidth of this VM's link; 0 if unknown.
        double linkMbps { 0 };
    };

    ShardJournal(boost::asio::io_context&, Platform::Store&, const Shards::ShardName&, Epoch, const Options&);
    ~ShardJournal();
    ShardJournal(const ShardJournal&) = delete;
    ShardJournal& operator=(const ShardJournal&) = delete;

    /// True if the open occurrences of each job were within the limits that this owner uses when the journal was last
    /// written. Known once the journal is open; true for a new one.
    bool withinOpenLimits() const { return withinOpenLimits_; }
    /// Earlier owners have used no higher run number for durable tasks. Known once the journal is open.
    Shards::RunNumber runNumberFloor() const { return runNumberFloor_; }
    /// This owner may use run numbers up to this one: no later owner uses them for the same tasks.
    Shards::RunNumber lastReservedRun() const { return lastReservedRun_; }
    /// False if a version that does not reserve run numbers wrote the journal last, so that runNumberFloor() may be too
    /// low.
    bool earlierRunsReserved() const { return earlierRunsReserved_; }
    /// Reads the journal and fences earlier owners. Retries until the store answers.
    void open(OpenCallback);
    /// Writes a batch; only one write may be in flight. Retries until the result is known.
    void write(const Write&, WriteCallback);

    std::size_t stateRowBytes() const { return stateRowBytes_; }
    /// Bytes that the rows add to a transaction, as encoded.
    std::size_t encodedBytes(const Write&) const;
    /// Limit of encodedBytes() for one write: what a transaction may have, and what the link transfers in a short time.
    std::size_t maxWriteBytes() const;

private:
    void readPage(const std::string& fromKey);
    void writeFence();
    void handleFenceWritten(const Platform::RowsResult&);
    void attempt();
    void handleWritten(const Platform::RowsResult&);
    void finishWrite(Outcome);
    void retryLater(void (ShardJournal::*action)());
    Platform::Row row(const std::string& key, const std::string& value) const;
    Platform::Row fenceRow(std::uint64_t batches, bool withinOpenLimits, Shards::RunNumber lastReservedRun) const;
    Duration transferTime(std::size_t bytes) const;
    void restartOpen() { readPage({}); }
    void repeatPage() { readPage(std::exchange(nextPageKey_, {})); }

    Platform::Store& store_;
    Timer retryTimer_;
    std::string partition_;
    Epoch epoch_;
    std::size_t stateRowBytes_;
    double linkMbps_;
    // Version of the fence row; 0 if there is none.
    Platform::RowVersion fenceVersion_;
    std::uint64_t batches_ { 0 };
    bool withinOpenLimits_ { true };
    Shards::RunNumber runNumberFloor_ {};
    Shards::RunNumber lastReservedRun_ {};
    bool earlierRunsReserved_ { true };
    std::vector<Row> rows_;
    // First key of the page that is read again after a failed attempt.
    std::string nextPageKey_;
    OpenCallback opened_;
    Write pending_;
    WriteCallback written_;
    // An attempt at the pending write may have taken effect or may still do so.
    bool inDoubt_ { false };
    Duration retryDelay_ {};
    std::shared_ptr<bool> alive_;
};

} // namespace Balsammill
