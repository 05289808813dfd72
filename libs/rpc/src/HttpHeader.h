#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace Balsammill::Detail {

/// Framing of a message body. The message has no body if neither member is set.
struct BodyFraming {
    bool chunked { false };
    std::optional<std::size_t> length {};
};

/// Rejects malformed lines that POCO's parser would skip or accept, such as names with blanks, because proxies in
/// between may parse them differently. Throws StreamFault.
void checkHeaderLines(std::string_view header);

/// Determines the framing of the body. Throws StreamFault if the length is not a number or is given twice, if both a
/// length and a transfer coding are given, or if the transfer coding is not chunked.
BodyFraming framingOf(const Poco::Net::MessageHeader&);

/// Returns true if the text is safe in a header value or path, that is, it has no control characters except tabs.
bool isSafeHeaderText(std::string_view);

} // namespace Balsammill::Detail
