#include "balsammill/http/HttpMessages.h"

#include <boost/beast/core/string.hpp>

namespace Balsammill {

std::string_view HttpRequest::field(std::string_view name) const
{
    for (const auto& candidate : fields) {
        if (boost::beast::iequals({ candidate.name.data(), candidate.name.size() }, { name.data(), name.size() }))
            return candidate.value;
    }
    return {};
}

} // namespace Balsammill
