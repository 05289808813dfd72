#pragma once

#include "RequestHead.h"
#include "ServerState.h"

#include <Poco/Net/StreamSocket.h>
#include <Poco/Runnable.h>

namespace Balsammill::Detail {

/// Serves the requests of one connection, one after the other. POCO's own HTTPServerConnection answers malformed
/// requests by itself, without a verdict, and bounds single reads instead of whole requests.
class ServerConnection : public Poco::Runnable {
public:
    ServerConnection(const Poco::Net::StreamSocket&, ServerState&);

    /// Serves until the connection ends, then removes its stream from the state and deletes this object.
    void run() override;
    HttpStream& stream() { return stream_; }
    /// Answers before any request was read.
    void refuseOverLimit();

private:
    void serveRequests();
    /// True if the connection can serve another request.
    bool serveRequest(TimePoint receivedAt);
    bool serveReceived(const std::string& header, TimePoint receivedAt);
    bool serveCall(RequestHead);
    bool servePage(const RequestHead&);
    void readBody(const RequestHead&, std::string& body);
    RpcAnswer handle(const RpcRequest&);

    bool refuse(int status, const RpcErrorDetails&);
    bool refuseFault(const StreamFault&);
    bool sendError(int status, const RpcErrorDetails&, bool keepAlive);
    void send(std::string_view head, std::string_view body);

    ServerState& state_;
    HttpStream stream_;
};

} // namespace Balsammill::Detail
