#pragma once

// Stand-ins of the platform for the cases 11 to 15: the store, the workers, the clients and the starting of entries,
// as PROTOCOL.md and DEPLOY.md describe them. All of it runs in one process; the entries are processes of their own.

#include "balsammill/http/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace Review {

using Exchange = std::shared_ptr<Balsammill::HttpExchange>;
using Clock = std::chrono::steady_clock;

std::int64_t nowMs();
std::int64_t unixMs();

/// Writes record.txt; each line begins with the milliseconds since the start of the script.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);
    std::int64_t sinceStart() const { return nowMs() - startMs_; }

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::int64_t startMs_ { nowMs() };
};

class Loop {
public:
    Loop();
    ~Loop();
    boost::asio::io_context& context() { return context_; }
    template <class Action> auto run(Action action)
    {
        std::packaged_task<std::invoke_result_t<Action>()> task(std::move(action));
        auto result = task.get_future();
        boost::asio::post(context_, [&task] { task(); });
        return result.get();
    }
    void after(std::int64_t ms, std::function<void()> action);

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// The platform's metadata store in the form "table".
class Store {
public:
    Store(Loop&, Record&);
    ~Store();
    std::string address() const { return address_; }
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);
    /// Number of transactions refused because a row exceeds row_bytes.
    int refusedForSize() const { return refusedForSize_; }
    /// The first of these names that a row of the zone's shard contains: the machine that wrote it last.
    std::string writerOf(const std::string& zone, const std::vector<std::string>& names) const;
    std::size_t largestRow() const { return largestRow_; }

    static constexpr std::size_t rowBytes = 65'536;

private:
    struct Row {
        std::string base64;
        std::uint64_t version { 0 };
        bool deleted { false };
    };
    struct Key {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Key&) const = default;
    };
    struct Waiter {
        std::string table;
        std::uint64_t after { 0 };
        Exchange exchange;
        // An exchange stands for its connection, which carries many requests.
        std::uint64_t number { 0 };
    };
    void handle(const Balsammill::HttpRequest&, const Exchange&);
    void transaction(const std::string& body, const Exchange&);
    void get(const std::map<std::string, std::string>&, const Exchange&);
    void feed(const std::map<std::string, std::string>&, const Exchange&);
    std::string changes(const std::string& table, std::uint64_t after) const;
    void wake();
    void set(const Key&, const std::string& base64, bool deleted);

    Loop& loop_;
    Record& record_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<Key, Row> rows_;
    std::vector<Waiter> waiters_;
    std::uint64_t lastWaiter_ { 0 };
    std::uint64_t version_ { 0 };
    int refusedForSize_ { 0 };
    std::size_t largestRow_ { 0 };
};

/// What a task does, as the tests write it into task_spec: "STEP:key=value,key=value;..." for each step of the job.
/// ms: run time; cpu: millicores; gang: size of the gang, 0 if it is none; anti: limit on one worker, 0 if there is
/// none; lasts: runs until it is stopped; failms: run 1 of index 0 fails after this time.
struct TaskKind {
    std::int64_t ms { 100 };
    int cpu { 1000 };
    int gang { 0 };
    int anti { 0 };
    bool lasts { false };
    std::int64_t failMs { 0 };
    bool checkpoints { false };
};

class Worker;

/// What all workers together have seen.
struct Tasks {
    struct Member {
        Worker* worker;
        std::string task;
    };
    struct Gang {
        std::vector<Member> members;
        std::set<std::string> checkpoints;
        bool working { false };
    };
    std::map<std::string, int> running;
    std::map<std::string, int> started;
    std::map<std::string, int> done;
    // Tasks of which an end `done` was taken note of.
    std::set<std::string> noted;
    // By "ID.K.STEP/run".
    std::map<std::string, Gang> gangs;
    // Checkpoints that were given out: the work that they stand for.
    std::map<std::string, std::int64_t> savedWork;
    std::vector<std::string> violations;
    std::uint64_t lastCheckpoint { 0 };
    int lapsed { 0 };
    // By step: the tasks whose last run has lapsed, until they start again.
    std::map<std::string, std::set<std::string>> away;
    // By step: the most tasks that were away when the lease of another one lapsed.
    std::map<std::string, std::size_t> awayAtLapse;
    bool logTasks { true };
};

class Worker {
public:
    struct Options {
        std::string id;
        std::string zone;
        std::string rack;
        int cpu { 32'000 };
    };
    Worker(Loop&, Store&, Record&, Tasks&, const Options&);
    ~Worker();
    const Options& options() const { return options_; }
    /// While it is set, everything that runs or starts here fails after this time.
    void setFailing(std::int64_t afterMs);
    /// The answers to this many next starts are lost; the starts are carried out.
    void loseAnswers(int starts) { answersToLose_ = starts; }
    int answersToLose() const { return answersToLose_; }
    bool isUp() const { return server_ != nullptr; }
    int usedCpu() const;
    std::size_t runs() const { return runs_.size(); }
    bool runsJob(const std::string& job) const;

private:
    struct Run {
        std::uint64_t number { 0 };
        TaskKind kind {};
        std::int64_t workedMs { 0 };
        std::int64_t workingSince { 0 };
        std::string saved {};
        std::shared_ptr<boost::asio::steady_timer> timer {};
    };
    struct End {
        std::uint64_t number { 0 };
        std::string task;
        std::uint64_t run { 0 };
        std::string how;
        std::string saved;
        // The worker's lease has lapsed since.
        bool lapsed { false };
    };
    void beat();
    void handle(const Balsammill::HttpRequest&, const Exchange&);
    std::string start(const std::string& body);
    void work(const std::string& task);
    void end(const std::string& task, const std::string& how);
    void endGangOf(const std::string& task, std::uint64_t run, const std::string& how);
    void hold(std::uint64_t lastSeen, std::int64_t waitMs, const Exchange&);
    void extendLease(std::int64_t deadlineMs);
    std::string report() const;
    void answer(const Exchange&, unsigned status, const std::string& reason) const;
    std::int64_t clockMs() const { return nowMs() - bornSteadyMs_ + 1000; }

    Loop& loop_;
    Store& store_;
    Record& record_;
    Tasks& tasks_;
    Options options_;
    std::unique_ptr<Balsammill::HttpServer> server_;
    std::string address_;
    std::map<std::string, Run> runs_;
    std::map<std::string, std::uint64_t> highestEnded_;
    std::vector<End> ends_;
    std::map<std::uint64_t, Exchange> waiters_;
    std::uint64_t lastWaiter_ { 0 };
    std::int64_t failAfterMs_ { 0 };
    int answersToLose_ { 0 };
    std::vector<Exchange> lost_;
    std::uint64_t fence_ { 0 };
    std::uint64_t lastEnd_ { 0 };
    std::int64_t leaseUntil_ { 0 };
    std::int64_t bornSteadyMs_ { nowMs() };
    std::int64_t bornUnixMs_ { unixMs() };
    int sequence_ { 0 };
    boost::asio::steady_timer leaseTimer_;
    std::shared_ptr<bool> alive_ { std::make_shared<bool>(true) };
};

/// An entry process, started with the command of the deploy file.
class Entry {
public:
    Entry(const std::string& folder, const std::string& name, const std::string& zone,
        const std::vector<std::string>& zones, const std::string& storeAddress, const std::string& limits = {});
    ~Entry();
    void start();
    void signal(int number) const;
    void wait();
    int frontPort() const { return front_; }
    int readyPort() const { return ready_; }
    const std::string& name() const { return name_; }
    bool isUp() const { return process_ > 0; }

private:
    std::string folder_;
    std::string name_;
    std::string settings_;
    int front_ { 0 };
    int ready_ { 0 };
    pid_t process_ { 0 };
};

struct Answer {
    /// 0 if there was no complete answer in time.
    int status { 0 };
    std::string body;
};

Answer call(int port, const std::string& method, const std::string& path, const std::string& body, int timeoutMs);

struct WorldOptions {
    std::vector<std::string> zones { "malaybalay", "valencia", "lantapan" };
    /// Entries of each zone.
    int entries { 3 };
    /// Workers of each zone, in the order of the zones.
    std::vector<int> workers { 4, 4, 4 };
    int cpu { 32'000 };
    int maxAttempts { 4 };
    int targetMs { 60'000 };
};

class World {
public:
    World(const std::string& recordPath, const WorldOptions&);
    /// Ends the entries and removes the temporary folder.
    void stop();
    bool waitUntilReady();
    /// The entry that last wrote the row of the zone's shard; null if there is none.
    Entry* ownerOf(const std::string& zone);
    /// Starts one more entry in the zone, at a new address.
    void addEntry(const std::string& zone, const std::string& name);
    /// Submits until the job is accepted or the time is over; after no answer or 502 at the next entry, after 429 or
    /// 503 after half a second. Returns true if it was accepted.
    bool submit(const std::string& id, const std::string& body, int seconds = 10);
    Answer stateOf(const std::string& id, int timeoutMs = 1500);
    Answer cancel(const std::string& id, int timeoutMs);
    Answer callSomeEntry(const std::string& method, const std::string& path, const std::string& body, int timeoutMs);
    /// Cores in use and cores that workers have, in thousandths.
    std::pair<int, int> usage();
    bool isRunning(const std::string& job);
    int startsOf(const std::string& job);
    std::vector<std::string> violations();

    Record record;
    Loop loop;
    Tasks tasks;
    std::unique_ptr<Store> store;
    std::vector<std::unique_ptr<Worker>> workers;
    std::vector<std::unique_ptr<Entry>> entries;

private:
    std::string folder_;
    std::vector<std::string> zones_;
    std::size_t nextEntry_ { 0 };
};

std::string jobId(std::uint64_t number);
void sleepMs(std::int64_t);

/// True unless TROUBLE=0.
bool withTrouble();

} // namespace Review
