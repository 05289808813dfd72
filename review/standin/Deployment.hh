#pragma once

#include "Record.hh"
#include "Worker.hh"

#include <sys/types.h>

#include <memory>
#include <string>
#include <vector>

namespace Review {

struct Answer {
    /// 0 if there was no complete answer.
    int status { 0 };
    std::string body;
    bool connected { false };
};

/// A small deployment on loopback addresses: the store, workers, and entries that are started with the command of the
/// deploy file. Everything that was started ends with the object.
class Deployment {
public:
    struct Zone {
        std::string name;
        int entries { 2 };
    };
    struct Options {
        std::vector<Zone> zones;
        std::vector<Worker::Options> workers;
        /// Of the two queues: "target_duration_ms", "stretch" and "max_attempts".
        int targetMs { 60 };
        int secondTargetMs { 60 };
        double stretch { 1.6 };
        int maxAttempts { 4 };
    };

    Deployment(Record&, const std::string& program, const Options&);
    ~Deployment();

    bool waitUntilReady();
    Standin::OperatorStore& store() { return *store_; }
    Worker& worker(const std::string& id);
    std::size_t entries() const { return entries_.size(); }
    const std::string& nameOf(std::size_t entry) const { return entries_[entry].name; }
    /// The entry that the record of the shard names; entries() if there is none.
    std::size_t ownerOf(const std::string& shard);
    void signalEntry(std::size_t entry, int signal);
    /// Starts the process of the entry again, as the platform does.
    void startEntry(std::size_t entry);
    bool entryEnded(std::size_t entry);

    Answer request(std::size_t entry, const std::string& method, const std::string& path, const std::string& body,
        Ms timeout, const std::string& fields = {});
    /// Queue 0 or 1: the two routes.
    Answer post(std::size_t entry, const std::string& id, const std::string& body, Ms timeout,
        const std::string& fields = {}, int queue = 0);
    /// Asks all entries in turn until one answers with 200 or 410; the state, or the last status.
    std::string stateOf(const std::string& id);

private:
    struct Entry {
        std::string name;
        std::string settings;
        int front { 0 };
        int ready { 0 };
        pid_t process { -1 };
    };

    void start(Entry&);

    Record& record_;
    std::string program_;
    std::string folder_;
    Standin::LoopThread loop_;
    std::unique_ptr<Standin::OperatorStore> store_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::vector<Entry> entries_;
};

/// A job of 16 hexadecimal digits.
std::string jobId(int number);
/// The body of a POST with one step.
std::string jobBody(const std::string& taskText, int count, int milliCores, int estimatedMs,
    const std::string& stepFields = {}, const std::string& jobFields = {});

} // namespace Review
