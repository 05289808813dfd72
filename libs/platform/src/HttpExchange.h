#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Balsammill::Detail {

struct HttpRequest {
    std::string method;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers {};
    std::string body {};
};

struct HttpAnswer {
    int status { 0 };
    /// Value of ETag with its quotes; empty if absent.
    std::string etag;
    std::string body;
};

/// An exchange without a complete answer.
struct HttpFailure {
    std::string cause;
    /// False if the kernel accepted no byte of the request.
    bool anyByteSent { false };
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/// Makes one exchange on a new connection, which is never reused and never retried. An answer whose body is shorter
/// than its Content-Length, or that has none, counts as failed, because a cut answer could not be told from a whole
/// one.
HttpResult exchange(const NetworkAddress&, const HttpRequest&, TimePoint deadline);

} // namespace Balsammill::Detail
