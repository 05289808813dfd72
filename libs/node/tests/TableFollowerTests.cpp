#include "TableFollower.h"

#include <doctest/doctest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

using namespace Balsammill;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto sendInterval = 50ms;
// The whole response takes 2.5 s, longer than any single call to the store may take to begin its response.
constexpr std::size_t sendSteps = 50;

/// Answers every request with the same response, in equal parts at equal intervals.
class SlowStore {
public:
    SlowStore(asio::io_context& loop, const std::string& body)
        : acceptor_(loop, { asio::ip::address_v4::loopback(), 0 })
        , response_("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
    {
        accept();
    }

    NetworkAddress address() const
    {
        return NetworkAddress("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()));
    }
    int requests() const { return requests_; }

private:
    struct Connection {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
        {
        }
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string input;
        std::size_t sent { 0 };
    };

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            receive(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void receive(const std::shared_ptr<Connection>& connection)
    {
        connection->input.clear();
        asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->input), "\r\n\r\n",
            [this, connection](const boost::system::error_code& error, std::size_t) {
                if (error)
                    return;
                ++requests_;
                connection->sent = 0;
                sendPart(connection);
            });
    }

    void sendPart(const std::shared_ptr<Connection>& connection)
    {
        const auto count = std::min(response_.size() / sendSteps + 1, response_.size() - connection->sent);
        asio::async_write(connection->socket, asio::buffer(response_.data() + connection->sent, count),
            [this, connection, count](const boost::system::error_code& error, std::size_t) {
                if (error)
                    return;
                connection->sent += count;
                if (connection->sent == response_.size()) {
                    receive(connection);
                    return;
                }
                connection->timer.expires_after(sendInterval);
                connection->timer.async_wait([this, connection](const boost::system::error_code& timerError) {
                    if (!timerError)
                        sendPart(connection);
                });
            });
    }

    asio::ip::tcp::acceptor acceptor_;
    std::string response_;
    int requests_ { 0 };
};

} // namespace

// Guards against a large row that never arrives over a slow link, because each attempt to read it starts from the
// beginning and ends halfway.
TEST_CASE("A table whose transfer takes longer than a call to the store is read at the first attempt")
{
    asio::io_context loop;
    SlowStore slowStore(loop,
        R"({"rows":[{"table":"op","key":"config","value":")" + std::string(100'000, 'A') + R"(","ver":7}],"ver":7})");
    Platform::Store store(loop, { .address = slowStore.address(), .extendsReadsWhileReceiving = true });
    std::size_t valueBytes = 0;
    int requestsBeforeChange = 0;
    TableFollower follower(loop, store, "op", Duration::zero(),
        { .changed =
                [&](const Platform::Row& row) {
                    valueBytes = row.value.size();
                    requestsBeforeChange = slowStore.requests();
                },
            .removed = [](const std::string&) {},
            .availabilityChanged = [](bool, const std::string&) {} });
    follower.start();
    const auto giveUpAt = monotonicNow() + 10s;
    while (valueBytes == 0 && monotonicNow() < giveUpAt)
        loop.run_for(10ms);
    CHECK_EQ(valueBytes, 75'000);
    CHECK_EQ(requestsBeforeChange, 1);
}
