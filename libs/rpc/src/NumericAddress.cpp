#include "NumericAddress.h"

#include <Poco/Net/IPAddress.h>

#include <charconv>
#include <cstdint>
#include <stdexcept>

namespace Balsammill::Detail {

Poco::Net::SocketAddress parseNumericAddress(const NetworkAddress& address)
{
    const auto& text = address.value;
    const auto colon = text.rfind(':');
    std::string host = colon == std::string::npos ? std::string() : text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    Poco::Net::IPAddress ip;
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const char* begin = colon == std::string::npos ? end : text.data() + colon + 1;
    const auto parsed = std::from_chars(begin, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || !Poco::Net::IPAddress::tryParse(host, ip))
        throw std::invalid_argument("'" + text + "' is not a numeric address, expected host:port");
    return { ip, port };
}

} // namespace Balsammill::Detail
