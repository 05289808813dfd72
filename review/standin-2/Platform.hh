#pragma once

#include "Net.hh"

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

// Stand-ins of the platform: its store, its workers, and the deployment that starts the entries.
namespace Review {

/// Writes the lines of record.txt, each with its time in milliseconds.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::FILE* file_;
};

/// One run of a task on a worker, as the worker saw it.
struct RunEntry {
    std::string task;
    std::uint64_t run { 0 };
    std::string worker;
    std::int64_t startedAt { 0 };
    std::int64_t endedAt { -1 };
    std::string how;
    /// When `last_seen` reached the end; -1 before.
    std::int64_t notedAt { -1 };
    /// The worker's lease lapsed between the end and the note of it.
    bool lapsedBeforeNote { false };
};

/// All runs on all workers.
class Ledger {
public:
    std::size_t begin(const std::string& task, std::uint64_t run, const std::string& worker);
    void end(std::size_t index, const std::string& how);
    void note(std::size_t index, bool lapsed);
    std::vector<RunEntry> entries() const;
    /// Runs of tasks of this job.
    std::vector<RunEntry> runsOf(const std::string& job) const;

private:
    mutable std::mutex mutex_;
    std::vector<RunEntry> entries_;
};

/// The platform's metadata store.
class Store {
public:
    enum class Mode { Up, Silent, Busy };
    Store();
    ~Store();
    int port() const { return server_->port(); }
    void setMode(Mode mode) { mode_ = mode; }
    Mode mode() const { return mode_; }
    /// The operator's and the workers' own writes; false if the store is down.
    bool put(const std::string& table, const std::string& key, const std::string& value);
    bool remove(const std::string& table, const std::string& key);

private:
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value; // base64
        std::uint64_t version { 0 };
        bool deleted { false };
    };
    std::optional<Response> handle(const Request&);
    Response transact(const std::string& body);
    std::string rowsText(const std::vector<std::pair<Key, Row>>&) const;

    std::atomic<Mode> mode_ { Mode::Up };
    std::atomic<bool> closing_ { false };
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ { 0 };
    std::unique_ptr<Server> server_;
};

/// A worker. The task's text is the mean time in milliseconds that such a task takes.
class Worker {
public:
    struct Options {
        std::string id;
        std::string zone;
        std::vector<std::string> labels;
        std::int64_t milliCores { 32'000 };
    };
    Worker(Ledger&, Record&, const Options&);
    ~Worker();
    const Options& options() const { return options_; }
    std::string registration();
    bool alive() const { return alive_; }
    std::int64_t lastBeatAt { 0 };
    /// Ends due runs and lapsed leases.
    void tick();
    /// The worker has lost power, with all that it ran.
    void crash();
    std::size_t running();
    std::size_t endsListed();

private:
    struct Run {
        std::uint64_t number { 0 };
        std::int64_t endAt { 0 };
        std::int64_t stopAt { -1 };
        std::size_t entry { 0 };
    };
    struct End {
        std::uint64_t sequence { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
        std::size_t entry { 0 };
        bool lapsed { false };
    };
    std::optional<Response> handle(const Request&);
    Response start(const std::string& body);
    Response stop(const std::string& body);
    Response hold(const std::string& body);
    bool acceptFence(std::uint64_t);
    void extend(std::int64_t deadline);
    void endRun(const std::string& task, const std::string& how);
    void tickLocked();
    std::string answer(const std::string& reason) const;
    std::string report() const;

    Ledger& ledger_;
    Record& record_;
    Options options_;
    std::int64_t bornUnixMs_;
    std::atomic<bool> alive_ { true };
    std::mutex mutex_;
    std::condition_variable ended_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint64_t> highestRun_;
    std::deque<End> ends_;
    std::uint64_t lastSequence_ { 0 };
    std::uint64_t fence_ { 0 };
    std::int64_t leaseUntil_ { 0 };
    bool lapsed_ { true };
    std::uint64_t beats_ { 0 };
    std::unique_ptr<Server> server_;
};

/// An entry: one process of the program with its settings file.
struct Entry {
    std::string name;
    std::string zone;
    int clientPort { 0 };
    int readyPort { 0 };
    int controlPort { 0 };
    int peerPort { 0 };
    std::string settings;
    std::string log;
    int pid { -1 };
};

/// A small deployment: a store, workers and entries.
class Deployment {
public:
    struct Options {
        std::vector<std::string> zones;
        int entriesPerZone { 2 };
        /// Labels of the workers of each zone.
        std::vector<std::vector<std::string>> workersPerZone;
        std::int64_t milliCores { 32'000 };
        /// Fields of the route besides its name, host, prefix and service.
        std::string routeFields;
    };
    Deployment(Record&, const Options&);
    ~Deployment();
    /// Starts the entries and waits until all are ready; false if they are not.
    bool start();
    void signal(Entry&, int number);
    /// Starts an entry that has ended, and waits until it is ready.
    bool restart(Entry&);
    bool ended(Entry&);
    Entry& entry(std::size_t index) { return entries_[index]; }
    std::size_t entryCount() const { return entries_.size(); }
    Reply request(std::size_t entry, const std::string& method, const std::string& id, const std::string& body,
        std::int64_t timeoutMs);

    Record& record;
    Ledger ledger;
    Store store;
    std::vector<std::unique_ptr<Worker>> workers;
    static constexpr auto host = "nony24.example";
    static constexpr auto prefix = "/lohu930/";

private:
    void launch(Entry&);
    void beat();

    Options options_;
    std::vector<Entry> entries_;
    std::string folder_;
    std::atomic<bool> closing_ { false };
    std::thread ticker_;
};

std::string jobId(std::uint64_t number);
/// The case runs with its disruption.
bool troubled();

} // namespace Review
