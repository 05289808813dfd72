#include "FakeEntry.h"

#include "support/Process.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <stdexcept>

namespace PlatformTest {

using namespace std::chrono_literals;

namespace {

constexpr auto host = "127.0.0.1";
const Poco::Timespan acceptPollTime(0, 10'000);

} // namespace

FakeEntry::FakeEntry(const std::string& vm)
    : vm_(vm)
    , listener_(Poco::Net::SocketAddress(host, 0))
    , acceptThread_([this] { accept(); })
{
}

FakeEntry::~FakeEntry()
{
    stopping_ = true;
    acceptThread_.join();
}

std::string FakeEntry::address() const { return listener_.address().toString(); }

void FakeEntry::accept()
{
    while (!stopping_) {
        if (!listener_.poll(acceptPollTime, Poco::Net::Socket::SELECT_READ))
            continue;
        const auto link = std::make_shared<FakeEntryLink>(vm_, incarnation_, listener_.acceptConnection());
        const std::lock_guard lock(mutex_);
        accepted_.push_back(link);
    }
}

std::vector<std::shared_ptr<FakeEntryLink>> FakeEntry::accepted() const
{
    const std::lock_guard lock(mutex_);
    return accepted_;
}

FakeEntryLink& FakeEntry::connect(int peerPort)
{
    const Poco::Net::SocketAddress entry(host, static_cast<Poco::UInt16>(peerPort));
    auto& link
        = *opened_.emplace_back(std::make_unique<FakeEntryLink>(vm_, incarnation_, Poco::Net::StreamSocket(entry)));
    if (!IntegrationTest::waitUntil(IntegrationTest::in(10s), [&] { return !link.received().empty(); }))
        throw std::runtime_error("no hello from peer port " + std::to_string(peerPort));
    return link;
}

FakeEntry::Message FakeEntry::submitMessage(
    std::uint64_t submission, const std::string& shard, const std::string& job, int estimateMs)
{
    Message message;
    auto* submit = message.mutable_submit();
    submit->set_submission(submission);
    submit->set_shard(shard);
    auto* out = submit->mutable_job();
    out->set_id(job);
    out->set_queue("checks");
    out->set_service("tanim");
    // The stand-in upstreams read the number of millicores from the payload.
    out->set_payload("10000");
    out->set_max_attempts(3);
    out->set_stretch(4);
    out->set_target_overhead_us(2'000'000);
    auto* step = out->add_steps();
    step->set_count(1);
    step->set_milli_cores(10'000);
    step->set_memory_mb(64);
    step->set_estimate_us(std::int64_t { estimateMs } * 1'000);
    return message;
}

FakeEntry::Message FakeEntry::cancelMessage(std::uint64_t submission)
{
    Message message;
    message.mutable_cancel()->set_submission(submission);
    return message;
}

FakeEntry::Message FakeEntry::confirmMessage(std::uint64_t submission, const std::string& shard)
{
    Message message;
    message.mutable_confirm()->set_submission(submission);
    message.mutable_confirm()->set_shard(shard);
    return message;
}

} // namespace PlatformTest
