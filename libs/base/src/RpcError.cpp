#include "balsammill/base/RpcError.h"

#include <utility>

namespace Balsammill {

RpcError::RpcError(RpcErrorDetails details)
    : std::runtime_error(std::string(nameOf(details.code)) + ": " + details.message)
    , details_(std::move(details))
{
}

} // namespace Balsammill
