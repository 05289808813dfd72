#include "FakeEntryLink.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>

namespace PlatformTest {

using namespace std::chrono_literals;

namespace {

constexpr auto heartbeatInterval = 100ms;
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t receiveBytes = 65'536;
constexpr auto pollTime = 10ms;

std::uint64_t nowMs()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
            .count());
}

} // namespace

FakeEntryLink::FakeEntryLink(const std::string& vm, std::uint64_t incarnation, const Poco::Net::StreamSocket& socket)
    : socket_(socket)
    , nextHeartbeatAt_(std::chrono::steady_clock::now())
{
    Message message;
    message.mutable_hello()->set_vm(vm);
    message.mutable_hello()->set_incarnation(incarnation);
    // Not the domain of any real entry, so that no owner offers its shard to this entry.
    message.mutable_hello()->set_failure_domain("fake");
    send(message);
    thread_ = std::thread([this] { run(); });
}

FakeEntryLink::~FakeEntryLink() { close(); }

void FakeEntryLink::send(Message message)
{
    const std::lock_guard lock(mutex_);
    if (closed_)
        return;
    message.set_sent_at_ms(nowMs());
    message.set_echoed_sent_at_ms(peerSentAtMs_);
    const auto body = message.SerializeAsString();
    std::string frame;
    for (int shift = 24; shift >= 0; shift -= 8)
        frame.push_back(static_cast<char>((body.size() >> shift) & 0xFF));
    frame += body;
    if (maxSentBytes_)
        frame.resize(std::min(frame.size(), *maxSentBytes_ - sentBytes_));
    try {
        socket_.sendBytes(frame.data(), static_cast<int>(frame.size()));
        sentBytes_ += frame.size();
        if (maxSentBytes_ && sentBytes_ == *maxSentBytes_) {
            socket_.shutdown();
            closed_ = true;
        }
    } catch (const Poco::Exception&) {
        closed_ = true; // isClosed() reports it.
    }
}

void FakeEntryLink::closeAfter(std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    maxSentBytes_ = std::max(bytes, sentBytes_ + 1);
}

void FakeEntryLink::close()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
    const std::lock_guard lock(mutex_);
    closed_ = true;
    socket_.close();
}

void FakeEntryLink::run()
{
    while (!stopping_ && !closed_) {
        try {
            if (!reading_)
                std::this_thread::sleep_for(pollTime);
            else if (socket_.poll(Poco::Timespan(0, std::chrono::microseconds(pollTime).count()),
                         Poco::Net::Socket::SELECT_READ))
                receive();
        } catch (const Poco::Exception&) {
            closed_ = true; // isClosed() reports it.
        }
        const auto now = std::chrono::steady_clock::now();
        if (!heartbeats_ || now < nextHeartbeatAt_)
            continue;
        nextHeartbeatAt_ = now + heartbeatInterval;
        Message message;
        message.mutable_status();
        send(message);
    }
}

void FakeEntryLink::receive()
{
    std::array<char, receiveBytes> buffer {};
    const int count = socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    const std::lock_guard lock(mutex_);
    if (count <= 0) {
        closed_ = true;
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    while (input_.size() >= lengthBytes) {
        std::size_t size = 0;
        for (std::size_t i = 0; i < lengthBytes; ++i)
            size = (size << 8U) | static_cast<unsigned char>(input_[i]);
        if (input_.size() < lengthBytes + size)
            break;
        Message message;
        if (!message.ParseFromArray(input_.data() + lengthBytes, static_cast<int>(size))) {
            closed_ = true;
            return;
        }
        input_.erase(0, lengthBytes + size);
        peerSentAtMs_ = std::max<std::uint64_t>(peerSentAtMs_, message.sent_at_ms());
        received_.push_back(std::move(message));
    }
}

std::vector<FakeEntryLink::Message> FakeEntryLink::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

std::optional<balsammill::internal::ShardJobAnswer> FakeEntryLink::answerTo(std::uint64_t submission) const
{
    for (const auto& message : received()) {
        if (message.has_answer() && message.answer().submission() == submission)
            return message.answer();
    }
    return std::nullopt;
}

std::size_t FakeEntryLink::movedNotices(std::uint64_t submission) const
{
    std::size_t count = 0;
    for (const auto& message : received())
        count += message.has_moved() && message.moved().submission() == submission ? 1 : 0;
    return count;
}

} // namespace PlatformTest
