#pragma once

#include "AdviceService.h"
#include "OperatorStore.h"
#include "OperatorUpstream.h"
#include "support/Process.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace PlatformTest {

/// The answer to one request of a client.
struct ClientAnswer {
    /// 0 if the connection ended without an answer.
    int status { 0 };
    std::string body;
    std::string retryAfter;
};

/// Entries as real processes, with a store and upstreams by the operators' protocol in this process.
class Fleet {
public:
    struct Options {
        std::string name;
        std::vector<std::string> domains { "valencia" };
        int entriesPerDomain { 2 };
        int upstreamsPerDomain { 3 };
        int runMs { 50 };
        /// If not empty, an advice service allows only these upstreams, and they refuse starts without its tickets.
        std::set<std::string> advisedUpstreams {};
    };

    explicit Fleet(const Options&);
    ~Fleet();

    /// Waits until every entry says that it is ready.
    bool waitUntilReady();
    bool isReady(std::size_t entry) const;
    /// Submits a job of tasks that use milliCores each, and waits for its end.
    ClientAnswer submit(std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// As a client does: sends the job again after a broken connection or an answer in doubt, to the next entry.
    ClientAnswer submitUntilAnswered(
        std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000) const;
    /// Submits a job that is answered once it is stored.
    ClientAnswer submitDurable(std::size_t entry, const std::string& id, int tasks, int milliCores = 10'000,
        const std::string& more = {}) const;
    /// The state of a durable job, or the status of the answer if that is not 200.
    std::string stateOf(std::size_t entry, const std::string& id) const;
    /// Waits until some entry tells this state.
    bool waitForState(const std::string& id, const std::string& state) const;
    ClientAnswer request(
        std::size_t entry, const std::string& method, const std::string& path, const std::string& body) const;
    std::string metrics(std::size_t entry) const;
    void configure(int version, const std::string& prefix = "/check/");

    void restart(std::size_t entry);
    IntegrationTest::Process& entry(std::size_t index) { return *entries_[index]; }
    std::size_t entryCount() const { return entries_.size(); }
    /// Index of the entry that owns the only shard of the domain; the number of entries if none is named.
    std::size_t ownerOf(const std::string& domain);
    Standin::OperatorStore& store() { return *store_; }
    Standin::AdviceService& advice() { return advice_; }
    Standin::OperatorUpstream& upstream(std::size_t index) { return *upstreams_[index]; }
    std::size_t upstreamCount() const { return upstreams_.size(); }
    /// Broken promises that the upstreams have seen, a line each.
    std::string violations();
    int starts();
    /// From now on a start of a task that has completed is a violation.
    void forbidRepeatedTasks();
    /// Runs that exist now, on any upstream.
    int running();
    /// Runs that ended because their lease was over.
    int lapsed();
    std::vector<std::string> logFiles() const;

private:
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
    std::vector<std::string> settings_;
    std::vector<std::unique_ptr<IntegrationTest::Process>> entries_;
};

} // namespace PlatformTest
