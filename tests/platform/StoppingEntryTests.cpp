#include "Fleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <csignal>
#include <thread>

using namespace PlatformTest;
using namespace IntegrationTest;
using namespace std::chrono_literals;

namespace {

// A client's connection that stays open between requests and is never opened again.
class KeptConnection {
public:
    explicit KeptConnection(std::uint16_t port)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", port))
    {
        socket_.setReceiveTimeout(Poco::Timespan(10, 0));
    }

    /// Status of the complete response; 0 if the connection ends before.
    int request(const std::string& text)
    {
        try {
            socket_.sendBytes(text.data(), static_cast<int>(text.size()));
            std::string received;
            std::array<char, 4096> block {};
            while (!isComplete(received)) {
                const int count = socket_.receiveBytes(block.data(), block.size());
                if (count <= 0)
                    return 0;
                received.append(block.data(), static_cast<std::size_t>(count));
            }
            return std::stoi(received.substr(std::string("HTTP/1.1 ").size(), 3));
        } catch (const Poco::Exception&) {
            return 0; // The entry has closed the connection.
        }
    }

private:
    static bool isComplete(const std::string& response)
    {
        constexpr std::string_view lengthField = "Content-Length: ";
        const auto end = response.find("\r\n\r\n");
        const auto length = response.find(lengthField);
        return end != std::string::npos && length < end
            && response.size() >= end + 4 + std::stoul(response.substr(length + lengthField.size()));
    }

    Poco::Net::StreamSocket socket_;
};

} // namespace

// Guards against a stopped process that ends with requests in progress: it ended one tick after it had been idle,
// although clients went on sending requests on their open connections.
TEST_CASE("While an entry stops, each request that it has read on an open connection is answered [node]")
{
    constexpr int connections = 60;
    constexpr auto interval = 40ms;
    // Requests take most of the interval, so that the entry is idle only now and then.
    constexpr auto writeDelay = 25ms;
    constexpr int rounds = 4;
    // Shortly before an idle entry may end.
    constexpr auto firstRequestAfter = 2'200ms;
    Fleet fleet({ .name = "node-stopping" });
    REQUIRE(fleet.waitUntilReady());
    const std::size_t stopped = 0;
    const std::size_t other = 1;
    // The shard's journal is open before the stop.
    REQUIRE_EQ(fleet.submitDurable(stopped, jobId(1), 1, 1'000).status, 200);
    fleet.store().setFaults({ .writeDelay = writeDelay });
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::unique_ptr<KeptConnection>> open;
        for (int i = 0; i < connections; ++i) {
            open.push_back(std::make_unique<KeptConnection>(fleet.clientPort(stopped)));
            REQUIRE_EQ(open.back()->request(fleet.durableSubmission(jobId(1), 1, 1'000)), 200);
        }
        std::vector<int> statuses(open.size());
        fleet.entry(stopped).signal(SIGTERM);
        const auto stoppedAt = std::chrono::steady_clock::now();
        std::vector<std::jthread> clients;
        for (std::size_t i = 0; i < open.size(); ++i) {
            clients.emplace_back([&, i, round] {
                std::this_thread::sleep_until(stoppedAt + firstRequestAfter + static_cast<int>(i) * interval);
                const auto id = jobId(1'000 * (round + 1) + static_cast<int>(i));
                statuses[i] = open[i]->request(fleet.durableSubmission(id, 1, 1'000));
            });
        }
        clients.clear();
        const auto status = fleet.entry(stopped).waitForExit(in(30s));
        REQUIRE(status.has_value());
        CHECK_EQ(*status, 0);
        int answered = 0;
        for (std::size_t i = 0; i < open.size(); ++i) {
            answered += statuses[i] == 200 ? 1 : 0;
            if (statuses[i] != 0)
                continue;
            // No entry has taken the job: an entry that has read the request answers it.
            const auto id = jobId(1'000 * (round + 1) + static_cast<int>(i));
            INFO("job ", id, " of round ", round);
            CHECK_EQ(fleet.stateOf(other, id), "410");
        }
        CHECK_GT(answered, 0);
        CHECK_LT(answered, connections);
        fleet.restart(stopped);
        REQUIRE(waitUntil(in(30s), [&] { return fleet.isReady(stopped); }));
    }
    CHECK_EQ(fleet.violations(), "");
}
