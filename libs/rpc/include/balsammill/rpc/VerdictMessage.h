#pragma once

#include "balsammill/base/Verdict.h"

#include "balsammill/v1/call.pb.h"

namespace Balsammill {

balsammill::v1::Verdict toProto(Verdict);
/// Converts an unknown value to may-have-run, the only verdict that does not claim whether the request ran.
Verdict fromProto(balsammill::v1::Verdict);

} // namespace Balsammill
