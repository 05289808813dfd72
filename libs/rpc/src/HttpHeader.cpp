#include "HttpHeader.h"

#include "HttpStream.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace Balsammill::Detail {

namespace {

[[noreturn]] void throwMalformed(const std::string& cause) { throw StreamFault(StreamFaultKind::Malformed, cause); }

bool isTokenCharacter(char c)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
        || symbols.find(c) != std::string_view::npos;
}

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

void checkField(std::string_view line)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        throwMalformed("a header line is not of the form 'name: value'");
}

std::size_t parseLength(const std::string& text)
{
    std::size_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        throwMalformed("Content-Length '" + text + "' is not a length");
    return length;
}

} // namespace

void checkHeaderLines(std::string_view header)
{
    bool first = true;
    while (!header.empty()) {
        const auto end = header.find('\n');
        auto line = header.substr(0, end);
        header.remove_prefix(end == std::string_view::npos ? header.size() : end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty())
            continue;
        if (std::any_of(line.begin(), line.end(), isControl))
            throwMalformed("the header contains a control character");
        if (!first)
            checkField(line);
        first = false;
    }
}

BodyFraming framingOf(const Poco::Net::MessageHeader& header)
{
    BodyFraming framing;
    for (const auto& [name, value] : header) {
        if (Poco::icompare(name, "Transfer-Encoding") == 0) {
            if (framing.chunked || Poco::icompare(value, "chunked") != 0)
                throwMalformed("Transfer-Encoding '" + value + "' is not supported, expected chunked");
            framing.chunked = true;
        } else if (Poco::icompare(name, "Content-Length") == 0) {
            if (framing.length)
                throwMalformed("Content-Length is given twice");
            framing.length = parseLength(value);
        }
    }
    if (framing.chunked && framing.length)
        throwMalformed("Content-Length and Transfer-Encoding are both given");
    return framing;
}

bool isSafeHeaderText(std::string_view text) { return std::none_of(text.begin(), text.end(), isControl); }

} // namespace Balsammill::Detail
