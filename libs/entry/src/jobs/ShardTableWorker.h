#pragma once

#include "balsammill/jobs/JobActions.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Balsammill {

class PlatformClient;

namespace Detail {

/// Reads and writes shard records in the platform's table, sequentially on a dedicated thread.
class ShardTableWorker {
public:
    struct Callbacks {
        std::function<void(ShardIndex, const RecordRead&)> read;
        std::function<void(ShardIndex, const RecordWrite&)> written;
    };

    /// If the client is null, all requests fail as if the platform were unavailable.
    ShardTableWorker(const PlatformClient*, FailureDomain, Callbacks);
    ~ShardTableWorker();

    void start();
    void stop();
    void submit(const ReadRecord&);
    void submit(const WriteRecord&);

private:
    void work();
    void write(const WriteRecord&);
    void readOne(ShardIndex);
    void readAll(const std::vector<ReadRecord>&);

    const PlatformClient* client_;
    FailureDomain domain_;
    Callbacks callbacks_;
    std::mutex mutex_;
    std::condition_variable wakeUp_;
    std::vector<ReadRecord> reads_;
    std::vector<WriteRecord> writes_;
    bool stopping_ { false };
    std::thread thread_;
};

} // namespace Detail
} // namespace Balsammill
