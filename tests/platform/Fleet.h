#pragma once

#include "AdviceService.h"
#include "OperatorStore.h"
#include "OperatorUpstream.h"
#include "support/Process.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPClientSession;
}

namespace PlatformTest {

/// The HTTP answer to one client request.
struct ClientAnswer {
    /// HTTP status; 0 if no complete answer was received.
    int status { 0 };
    /// Body of the answer, or the cause of the failure if status is 0.
    std::string body;
    std::string retryAfter;
};

/// Job id with these decimal digits.
std::string jobId(int number);

/// Runs entries as real processes. Stand-ins for the store, the upstreams and the advice service run in this process
/// and implement the operators' protocol.
class Fleet {
public:
    struct Options {
        std::string name;
        std::vector<std::string> domains { "valencia" };
        int entriesPerDomain { 2 };
        int upstreamsPerDomain { 3 };
        int runMs { 50 };
        /// If not empty, the advice service allows only these upstreams, and upstreams refuse starts without its
        /// ticket.
        std::set<std::string> advisedUpstreams {};
        /// Lines of the table "limits" in the settings of each entry; one string for each entry of a domain, the last
        /// one for all further ones.
        std::vector<std::string> limits {};
        /// Largest value of a row of the store, in bytes of its base64 form.
        std::size_t rowBytes { 65'536 };
        /// Extra environment variables of the entries.
        std::map<std::string, std::string> environment {};
    };

    explicit Fleet(const Options&);
    ~Fleet();

    /// Waits up to 30 s until every entry reports that it is ready.
    bool waitUntilReady();
    bool isReady(std::size_t entry) const;
    /// Submits a best-effort job, whose tasks use milliCores each, and waits until it has ended.
    ClientAnswer submit(std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// Sends the request of submit() without waiting for an answer. The client leaves when the session is destroyed.
    std::unique_ptr<Poco::Net::HTTPClientSession> openSubmission(
        std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// Sends the request of submit() and closes the connection without waiting for an answer.
    void submitAndLeave(std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// Submits like the operators' clients: after a broken connection or a 429, 502 or 503 answer it sends the job to
    /// the next entry. Returns the last answer after 12 attempts.
    ClientAnswer submitUntilAnswered(
        std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// Submits a durable job, which is answered as soon as it is stored.
    ClientAnswer submitDurable(std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000,
        const std::string& extraFields = {}) const;
    /// Submits a durable job whose tasks run for this time, once in each interval.
    ClientAnswer submitRepeated(
        std::size_t entry, const std::string& id, int tasks, int runMs, int intervalMs, int count) const;
    /// The text of the HTTP request that submitDurable() sends.
    std::string durableSubmission(const std::string& id, int tasks, int milliCores) const;
    /// State of a durable job, or the HTTP status as text if it is not 200.
    std::string stateOf(std::size_t entry, const std::string& id) const;
    /// Asks the entries in turn, for up to 30 s, until one reports this state.
    bool waitForState(const std::string& id, const std::string& state) const;
    ClientAnswer request(
        std::size_t entry, const std::string& method, const std::string& path, const std::string& body) const;
    std::string metrics(std::size_t entry) const;
    /// Writes a configuration with one route for paths that begin with the prefix.
    void configure(int version, const std::string& prefix = "/check/");

    /// Kills the entry with SIGKILL if it runs, and starts it again.
    void restart(std::size_t entry);
    IntegrationTest::Process& entry(std::size_t index) { return *entries_[index]; }
    std::size_t entryCount() const { return entries_.size(); }
    /// Port at which clients connect to the entry.
    std::uint16_t clientPort(std::size_t entry) const { return ports_[entry].client.number(); }
    /// Port at which other entries connect to the entry.
    int peerPort(std::size_t entry) const { return ports_[entry].firstPeer; }
    /// Index of the entry that owns the only shard of the domain; entryCount() if its record names no entry.
    std::size_t ownerOf(const std::string& domain);
    Standin::OperatorStore& store() { return *store_; }
    Standin::AdviceService& advice() { return advice_; }
    Standin::OperatorUpstream& upstream(std::size_t index) { return *upstreams_[index]; }
    std::size_t upstreamCount() const { return upstreams_.size(); }
    /// Violations that the upstreams have recorded, such as two runs of a task at the same time; one per line.
    std::string violations();
    /// Number of task starts on all upstreams.
    int starts();
    /// Makes the upstreams record a violation when a task that has completed is started again.
    void forbidRepeatedTasks();
    /// Largest number of failed runs of any task of the job.
    int failedRunsOf(const std::string& job);
    /// True if two starts of a task of the job had the same run number.
    bool hasRepeatedRuns(const std::string& job);
    /// Number of runs in progress on all upstreams.
    int activeRuns();
    /// Number of ends on all upstreams that no owner has acknowledged.
    std::size_t unacknowledgedEnds();
    /// Number of runs that upstreams ended because the lease had expired.
    int expiredRuns();
    std::vector<std::string> logFiles() const;

private:
    std::string submission(int tasks, int milliCores, const std::string& fields, std::optional<int> runMs = {}) const;
    struct Ports {
        IntegrationTest::ReservedPort client;
        IntegrationTest::ReservedPort readiness;
        int firstPeer { 0 };
    };
    std::unique_ptr<IntegrationTest::Process> start(std::size_t index) const;

    Options options_;
    Standin::LoopThread loop_;
    Standin::RunRegistry registry_;
    std::unique_ptr<Standin::OperatorStore> store_;
    Standin::AdviceService advice_;
    std::vector<std::unique_ptr<Standin::OperatorUpstream>> upstreams_;
    std::vector<Ports> ports_;
    std::vector<std::string> settingsFiles_;
    std::vector<std::unique_ptr<IntegrationTest::Process>> entries_;
};

} // namespace PlatformTest
