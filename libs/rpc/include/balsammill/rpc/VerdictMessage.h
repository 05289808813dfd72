#pragma once

#include "balsammill/base/Verdict.h"

#include "balsammill/v1/call.pb.h"

namespace Balsammill {

balsammill::v1::Verdict toProto(Verdict);
/// An unknown value counts as may-have-run, which is never a false promise.
Verdict fromProto(balsammill::v1::Verdict);

} // namespace Balsammill
