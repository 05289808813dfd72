#pragma once

#include "balsammill/v1/operator.pb.h"

namespace Balsammill {

class ConfigService;
class Dispatcher;
class JobService;
struct MemberView;
struct ProcessId;

} // namespace Balsammill

namespace Balsammill::Detail {

/// Builds the response of GetState.
balsammill::v1::StateResponse reportState(
    const ProcessId&, const ConfigService&, const MemberView&, const Dispatcher&, const JobService&);

} // namespace Balsammill::Detail
