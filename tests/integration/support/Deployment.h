#pragma once

#include "support/Control.h"
#include "support/Process.h"

#include "balsammill/rpc/RpcMessages.h"
#include "balsammill/v1/jobs.pb.h"
#include "balsammill/v1/operator.pb.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace IntegrationTest {

struct DeploymentOptions {
    std::string name;
    std::vector<std::string> domains { "malaybalay", "valencia" };
    int entriesPerDomain { 2 };
    int upstreamsPerDomain { 2 };
    int slots { 8 };
    int runMs { 20 };
    std::vector<std::string> entryFlags {};
    /// Puts the proxy between entries, and between each failure domain and the platform.
    bool proxies { false };
    /// Puts the proxy between entries and upstreams; the routes are named "upstream-<vm>".
    bool upstreamProxies { false };
};

struct Entry {
    std::string vm;
    std::string domain;
    // Reserved for the whole test: callers and the proxy use the same ports after a restart of the entry.
    ReservedPort callerPort {};
    ReservedPort operatorPort {};
    ReservedPort peerPort {};
    std::unique_ptr<Process> process;
};

struct Upstream {
    std::string vm;
    std::string domain;
    std::uint16_t port { 0 };
};

/// Result of one call as its caller sees it: the answer if `ok`, the error otherwise.
struct CallOutcome {
    bool ok { false };
    std::string answer;
    Balsammill::RpcErrorDetails error {};
};

/// A complete deployment of the growers' example on the loopback address. The stand-in platform, the upstreams and the
/// entries are real processes. The constructor returns when the configuration is applied and every entry is ready.
class Deployment {
public:
    explicit Deployment(DeploymentOptions);
    ~Deployment();

    std::vector<Entry>& entries() { return entries_; }
    Entry& entry(const std::string& vm);
    std::vector<Upstream>& upstreams() { return upstreams_; }
    std::uint16_t platformPort() const { return platform_->portFromReadyLine("port"); }

    void startEntry(Entry&);
    /// Writes a row for each upstream to the platform; the VMs in `leaving` get the state "draining".
    void registerUpstreams(const std::set<std::string>& leaving = {}) const;
    bool waitUntilReady(const Entry&) const;
    bool waitUntilAllReady() const;

    void setPlatformFaults(const std::string& json) const;
    /// Sets faults of a proxy route, for example "platform-valencia" or "<from>-to-<to>".
    void setRoute(const std::string& route, const std::string& json) const;
    /// Cuts or restores the links between all entries of two failure domains, in both directions.
    void setDomainsCut(const std::string& left, const std::string& right, bool cut) const;
    void setUpstreamMode(const Upstream&, const std::string& json) const;

    CallOutcome call(const Entry&, const std::string& method, const std::string& json,
        Balsammill::Duration timeout = std::chrono::seconds(10), const std::string& taskId = {}) const;
    CallOutcome submitJob(const Entry&, const balsammill::v1::SubmitRequest&,
        Balsammill::Duration timeout = std::chrono::seconds(20)) const;
    balsammill::v1::StateResponse state(const Entry&) const;
    /// Makes a call of the operator interface, for example "DrainVm".
    CallOutcome callOperator(const Entry&, const std::string& action, const std::string& json,
        Balsammill::Duration timeout = std::chrono::seconds(10)) const;
    /// The example's configuration as a JSON request of ApplyConfig. A drained VM makes its content differ from that of
    /// other changes.
    std::string exampleConfig(std::uint64_t expectedVersion, const std::string& drainedVm = {}) const;

    /// Number of starts on all upstreams for each task id.
    std::map<std::string, int> startCounts() const;
    /// One line for each task that started more than once, with its number of starts; empty if there is none.
    std::string repeatedStarts() const;

private:
    void startPlatform();
    void startUpstreams();
    void reserveEntryPorts();
    void startProxies();
    std::vector<std::string> entryArguments(const Entry&) const;

    DeploymentOptions options_;
    std::unique_ptr<Process> platform_;
    std::vector<std::unique_ptr<Process>> upstreamProcesses_;
    std::unique_ptr<Process> proxy_;
    std::map<std::string, std::uint16_t> proxyPorts_;
    std::vector<Upstream> upstreams_;
    std::vector<Entry> entries_;
};

/// A job of the growers' example with the given number of tasks.
balsammill::v1::SubmitRequest makeJob(const std::string& id, int tasks, const std::string& home = {});

} // namespace IntegrationTest
