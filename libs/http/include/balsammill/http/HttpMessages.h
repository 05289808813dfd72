#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Balsammill {

/// A header field; names compare without regard to case.
struct HttpField {
    std::string name;
    std::string value;
};

/// A complete HTTP/1.1 request.
struct HttpRequest {
    std::string method;
    std::string target;
    std::string host;
    std::vector<HttpField> fields;
    std::string body;

    /// Value of the first field of that name; empty if there is none.
    std::string_view field(std::string_view name) const;
};

/// A complete HTTP/1.1 response.
struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpField> fields;
    std::string body;
    std::string contentType { "application/json" };
};

/// What became of a request that a client sent.
struct HttpResult {
    /// The response; empty if none was received completely.
    std::optional<HttpResponse> response;
    /// True if no byte of the request was written, so that the peer cannot have acted on it.
    bool neverSent { false };
    /// Reason in words if there is no response.
    std::string error;
};

using HttpCallback = std::function<void(HttpResult)>;

} // namespace Balsammill
