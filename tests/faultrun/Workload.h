#pragma once

#include "Records.h"
#include "support/Deployment.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <shared_mutex>
#include <thread>
#include <vector>

namespace FaultRun {

struct WorkloadOptions {
    std::uint64_t seed { 1 };
    int callers { 8 };
};

/// Runs caller threads that make calls and submit jobs, each request through a random entry. A caller submits a job up
/// to four times until its answer is complete; some complete jobs are submitted again. About every fourth job is also
/// submitted once by a second thread at the same time.
class Workload {
public:
    Workload(WorkloadOptions, IntegrationTest::Deployment&, Records&);
    ~Workload();

    void start();
    void stop();

private:
    void runCaller(int index);
    void makeCall(std::mt19937_64&, const std::string& id);
    void submitJob(std::mt19937_64&, const std::string& id);
    JobAttempt attemptJob(std::mt19937_64&, const std::string& id, int tasks, const std::string& home);
    const IntegrationTest::Entry& pickEntry(std::mt19937_64&);

    WorkloadOptions options_;
    IntegrationTest::Deployment& deployment_;
    Records& records_;
    std::atomic<bool> stop_ { false };
    std::vector<std::thread> threads_;
};

/// Microseconds since the Unix epoch.
std::int64_t wallClockUs();

} // namespace FaultRun
