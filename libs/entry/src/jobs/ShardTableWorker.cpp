#include "ShardTableWorker.h"

#include "balsammill/base/Log.h"
#include "balsammill/platform/PlatformClient.h"

#include <exception>
#include <map>
#include <utility>

namespace Balsammill::Detail {

namespace {

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

RecordRead parse(const TableValue& value)
{
    auto record = parseShardRecord(value.value);
    if (record)
        return RecordFound { std::move(*record), value.etag.value };
    logError(LogComponent::Jobs, "table key " + value.key + " does not contain a valid shard record");
    return RecordUnavailable {};
}

RecordRead toRecordRead(const ReadResult& result)
{
    return std::visit(Overloaded {
                          [](const TableValue& value) { return parse(value); },
                          [](const KeyAbsent&) { return RecordRead { RecordMissing {} }; },
                          [](const PlatformUnavailable&) { return RecordRead { RecordUnavailable {} }; },
                      },
        result);
}

RecordWrite toRecordWrite(const WriteResult& result)
{
    return std::visit(Overloaded {
                          [](const Written& written) { return RecordWrite { RecordWritten { written.etag.value } }; },
                          [](const WriteConflict&) { return RecordWrite { RecordConflict {} }; },
                          [](const WriteNotSent&) { return RecordWrite { RecordNotSent {} }; },
                          [](const WriteInDoubt&) { return RecordWrite { RecordInDoubt {} }; },
                      },
        result);
}

} // namespace

ShardTableWorker::ShardTableWorker(const PlatformClient* client, FailureDomain domain, Callbacks callbacks)
    : client_(client)
    , domain_(std::move(domain))
    , callbacks_(std::move(callbacks))
{
}

ShardTableWorker::~ShardTableWorker() { stop(); }

void ShardTableWorker::start()
{
    thread_ = std::thread([this] { work(); });
}

void ShardTableWorker::stop()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wakeUp_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

void ShardTableWorker::submit(const ReadRecord& read)
{
    std::lock_guard lock(mutex_);
    reads_.push_back(read);
    wakeUp_.notify_one();
}

void ShardTableWorker::submit(const WriteRecord& write)
{
    std::lock_guard lock(mutex_);
    writes_.push_back(write);
    wakeUp_.notify_one();
}

void ShardTableWorker::work()
{
    std::unique_lock lock(mutex_);
    for (;;) {
        wakeUp_.wait(lock, [this] { return stopping_ || !reads_.empty() || !writes_.empty(); });
        if (stopping_)
            return;
        // A shard has at most one outstanding request, so the order between shards does not matter.
        const auto writes = std::exchange(writes_, {});
        const auto reads = std::exchange(reads_, {});
        lock.unlock();
        for (const auto& each : writes)
            write(each);
        if (reads.size() == 1)
            readOne(reads.front().shard);
        else if (!reads.empty())
            readAll(reads);
        lock.lock();
    }
}

void ShardTableWorker::write(const WriteRecord& request)
{
    RecordWrite result = RecordNotSent {};
    if (client_) {
        const auto expected = request.expectedTag ? std::optional(ETag { *request.expectedTag }) : std::nullopt;
        result = RecordInDoubt {};
        try {
            result = toRecordWrite(client_->conditionalWrite(
                shardTableKey(domain_, request.shard), formatShardRecord(request.record), expected));
        } catch (const std::exception& error) {
            logError(LogComponent::Jobs, std::string("writing a shard record failed: ") + error.what());
        }
    }
    callbacks_.written(request.shard, result);
}

void ShardTableWorker::readOne(ShardIndex shard)
{
    RecordRead result = RecordUnavailable {};
    if (client_) {
        try {
            result = toRecordRead(client_->read(shardTableKey(domain_, shard)));
        } catch (const std::exception& error) {
            logError(LogComponent::Jobs, std::string("reading a shard record failed: ") + error.what());
        }
    }
    callbacks_.read(shard, result);
}

void ShardTableWorker::readAll(const std::vector<ReadRecord>& reads)
{
    // A single list request instead of one read per shard reduces the load on the platform.
    std::map<ShardIndex, RecordRead> found;
    bool listed = false;
    if (client_) {
        try {
            const auto result = client_->list(shardTablePrefix(domain_));
            if (const auto* values = std::get_if<std::vector<TableValue>>(&result)) {
                listed = true;
                for (const auto& value : *values) {
                    if (const auto shard = shardOfTableKey(domain_, value.key))
                        found.emplace(*shard, parse(value));
                }
            }
        } catch (const std::exception& error) {
            logError(LogComponent::Jobs, std::string("listing the shard records failed: ") + error.what());
        }
    }
    for (const auto& read : reads) {
        const auto record = found.find(read.shard);
        const RecordRead absent = listed ? RecordRead { RecordMissing {} } : RecordRead { RecordUnavailable {} };
        callbacks_.read(read.shard, record == found.end() ? absent : record->second);
    }
}

} // namespace Balsammill::Detail
