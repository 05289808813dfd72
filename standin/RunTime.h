#pragma once

#include "balsammill/schema/MethodInfo.h"

#include <random>
#include <variant>

namespace Balsammill::Standin {

struct FixedRunTime {
    Duration time;
};
struct LognormalRunTime {
    Duration median;
    double sigma { 0 };
};
/// Uses the run time that the schema declares for the method.
struct DeclaredRunTime { };
using RunTimeModel = std::variant<FixedRunTime, LognormalRunTime, DeclaredRunTime>;

Duration sampleRunTime(const RunTimeModel&, const MethodInfo&, std::mt19937_64&);

} // namespace Balsammill::Standin
