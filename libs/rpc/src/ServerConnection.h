#pragma once

#include "RequestHead.h"
#include "ServerState.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>

namespace Balsammill::Detail {

/// Serves the requests of one connection sequentially.
///
/// POCO's HTTPServerConnection is not used, because it responds to malformed requests itself, without a verdict, and
/// its timeouts apply to single reads instead of whole requests.
class ServerConnection : public Poco::Runnable {
public:
    ServerConnection(const Poco::Net::StreamSocket&, ServerState&);

    /// Serves until the connection ends, then removes its stream from the state and deletes this object.
    void run() override;
    HttpStream& stream() { return stream_; }
    /// Responds that the connection limit is reached, without reading a request.
    void refuseOverLimit();

private:
    void serveRequests();
    // The functions below that return bool return true if the connection can serve another request.
    bool serveRequest(TimePoint receivedAt);
    bool parseAndServe(const std::string& header, TimePoint receivedAt);
    bool serveCall(RequestHead);
    bool servePage(const RequestHead&);
    void readBody(const RequestHead&, std::string& body);
    RpcAnswer handle(const RpcRequest&);

    bool refuse(int status, const RpcErrorDetails&);
    bool refuseAfterFault(const StreamFault&);
    bool sendError(int status, const RpcErrorDetails&, bool keepAlive);
    void send(std::string_view head, std::string_view body);

    ServerState& state_;
    HttpStream stream_;
};

} // namespace Balsammill::Detail
