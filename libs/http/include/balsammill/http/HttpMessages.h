#pragma once

#include "balsammill/base/Units.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Balsammill {

/// A header field; its name is case-insensitive.
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

    /// Value of the first field with that name; empty if there is none.
    std::string_view field(std::string_view name) const;
};

/// A complete HTTP/1.1 response.
struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpField> fields;
    std::string body;
    std::string contentType { "application/json" };
};

/// Identifies a connection of an HttpClient; 0 is none.
using HttpConnectionId = StrongNumber<struct HttpConnectionTag>;

/// Outcome of a request sent with HttpClient.
struct HttpResult {
    /// Empty if no complete response was received.
    std::optional<HttpResponse> response;
    /// True if no byte of the request was written, so the server cannot have processed it and a retry is safe.
    bool neverSent { false };
    /// Human-readable reason if there is no response.
    std::string error;
    /// The connection that carried the request.
    HttpConnectionId connection {};
};

using HttpCallback = std::function<void(HttpResult)>;

} // namespace Balsammill
