#pragma once

#include "HttpService.h"
#include "PlatformTable.h"

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace Balsammill::Standin {

struct PlatformFaults {
    Duration writeDelay {};
    Duration readDelay {};
    /// Every request of the platform's protocol is answered with 503 and has no effect.
    bool outage { false };
    /// Share of writes that take effect and whose connection is then closed without an answer.
    double loseAnswers { 0 };
    Duration listLag {};
    /// 0 means unlimited. Writes over the limit wait; those that would wait over 5 s are answered with 503.
    double writesPerSecond { 0 };
};

/// The platform's table, object store and VM list behind HTTP, with faults that tests can set. Thread-safe.
///
/// A delayed write takes effect after its delay, so it may take effect when its sender has given up waiting.
class PlatformService {
public:
    explicit PlatformService(std::uint64_t seed);

    void handle(HttpRequest&, HttpResponse&);

private:
    struct Counters {
        std::uint64_t reads { 0 };
        std::uint64_t writes { 0 };
        std::uint64_t conflicts { 0 };
        std::uint64_t lostAnswers { 0 };
        std::uint64_t vmListReads { 0 };
        std::uint64_t refusedByOutage { 0 };
        std::uint64_t refusedByRate { 0 };
    };

    void handleControl(HttpRequest&, HttpResponse&, const Target&);
    void handleRead(HttpResponse&, const Target&);
    void handleWrite(HttpRequest&, HttpResponse&, const Target&);
    void sendTable(HttpResponse&, const std::string& prefix) const;
    void sendValue(HttpResponse&, const PlatformTable&, const std::string& key) const;
    void sendCounters(HttpResponse&) const;
    void setFaults(const Poco::JSON::Object&);
    bool refusedByOutage(HttpResponse&);
    /// Waits for the write's turn; false if it was refused.
    bool waitForTurn(HttpResponse&);
    /// Table or object store that a path belongs to, with the key; null for other paths.
    PlatformTable* storeOf(const std::string& path, std::string& key);

    mutable std::mutex mutex_;
    PlatformTable table_;
    PlatformTable objects_;
    VmListHistory vms_;
    WritePacer pacer_;
    PlatformFaults faults_;
    Counters counters_;
    std::mt19937_64 random_;
};

} // namespace Balsammill::Standin
