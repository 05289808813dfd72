#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include "balsammill/v1/jobs.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace Balsammill {

class Dispatcher;
struct ActiveConfig;

namespace Detail {

/// Runs the tasks of started jobs through the dispatcher. A job either completes or fails as a whole. Thread-safe.
class JobRunner {
public:
    using Completion = std::function<void(const JobKey&, const balsammill::v1::JobResult&)>;

    JobRunner(Dispatcher&, Completion);

    /// The request's tasks must be in binary form, even if the job was submitted as JSON.
    void run(const JobKey&, const std::shared_ptr<const balsammill::v1::SubmitRequest>&,
        std::shared_ptr<const ActiveConfig>, TimePoint deadline);
    /// Cancels the tasks that have not started; the job fails once the running tasks have ended.
    void cancel(const JobKey&);

private:
    struct Run;
    void submitTasks(const std::shared_ptr<Run>&);
    void cancelQueued(const std::shared_ptr<Run>&);
    void finish(const std::shared_ptr<Run>&);

    Dispatcher& dispatcher_;
    Completion completion_;
    std::mutex mutex_;
    std::map<JobKey, std::shared_ptr<Run>> runs_;
};

} // namespace Detail
} // namespace Balsammill
