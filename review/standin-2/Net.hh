#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

// HTTP/1.1 on loopback sockets: a server with one thread for each connection, and a blocking client.
namespace Review {

/// Milliseconds since the start of this process, on the steady clock.
std::int64_t nowMs();
std::int64_t unixMs();
void sleepMs(std::int64_t);

struct Request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;
};

struct Response {
    int status { 200 };
    std::string body;
};

class Server {
public:
    /// Returns no response if the connection shall be closed without one.
    using Handler = std::function<std::optional<Response>(const Request&)>;
    explicit Server(Handler);
    ~Server();
    Server(const Server&) = delete;
    int port() const { return port_; }
    /// Ends the listener and all connections, as the end of a process does.
    void stop();
    /// From now on nothing answers, and new connections hang, as with a machine that has lost power.
    void goDark();

private:
    struct State;
    std::shared_ptr<State> state_;
    int port_ { 0 };
    std::vector<int> fillers_;
};

/// What became of a request.
struct Reply {
    /// 0 if the connection ended or the time was over before a complete answer.
    int status { 0 };
    std::string body;
    bool timedOut { false };
    bool connected { false };
};

/// A client's connection, which is kept open between requests.
class Connection {
public:
    explicit Connection(int port);
    ~Connection();
    Connection(const Connection&) = delete;
    bool open() const { return socket_ >= 0; }
    Reply send(const std::string& method, const std::string& target, const std::string& host, const std::string& body,
        std::int64_t timeoutMs);
    void close();

private:
    int socket_ { -1 };
};

Reply call(int port, const std::string& method, const std::string& target, const std::string& host,
    const std::string& body, std::int64_t timeoutMs);

int freePort();

} // namespace Review
