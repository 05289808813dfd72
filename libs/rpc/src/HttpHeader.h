#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstddef>
#include <optional>
#include <string_view>

namespace Balsammill::Detail {

/// How the body of a message is delimited; neither member set means that there is no body.
struct BodyFraming {
    bool chunked { false };
    std::optional<std::size_t> length {};
};

/// Refuses lines that POCO's parser would skip or accept, such as names with blanks, which other HTTP programs on the
/// way may read differently. Throws StreamFault.
void checkHeaderLines(std::string_view header);

/// Throws StreamFault if the length is not a number, is given twice or contradicts a transfer coding.
BodyFraming framingOf(const Poco::Net::MessageHeader&);

/// True if the text can be sent as a header value or path without ending the line.
bool isFieldText(std::string_view);

} // namespace Balsammill::Detail
