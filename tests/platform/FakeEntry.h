#pragma once

#include "FakeEntryLink.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>

namespace PlatformTest {

/// An entry of which only the protocol between entries exists. Each test decides what it answers to the messages that
/// its connections record.
class FakeEntry {
public:
    using Message = FakeEntryLink::Message;

    explicit FakeEntry(const std::string& vm);
    ~FakeEntry();
    FakeEntry(const FakeEntry&) = delete;
    FakeEntry& operator=(const FakeEntry&) = delete;

    const std::string& vm() const { return vm_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// Address at which entries connect to this one if a record names it.
    std::string address() const;
    /// Opens a connection to the entry with this peer port, and waits for its hello.
    FakeEntryLink& connect(int peerPort);
    /// Connections that entries have opened to this one.
    std::vector<std::shared_ptr<FakeEntryLink>> accepted() const;

    /// Each function returns the message; the caller chooses the connection.
    static Message submitMessage(
        std::uint64_t submission, const std::string& shard, const std::string& job, int estimateMs);
    static Message cancelMessage(std::uint64_t submission);
    static Message confirmMessage(std::uint64_t submission, const std::string& shard);

private:
    void accept();

    std::string vm_;
    std::uint64_t incarnation_ { 1 };
    Poco::Net::ServerSocket listener_;
    mutable std::mutex mutex_;
    std::vector<std::shared_ptr<FakeEntryLink>> accepted_;
    std::vector<std::unique_ptr<FakeEntryLink>> opened_;
    std::atomic<bool> stopping_ { false };
    std::thread acceptThread_;
};

} // namespace PlatformTest
