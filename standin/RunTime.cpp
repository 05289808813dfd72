#include "RunTime.h"

#include <cmath>

namespace Balsammill::Standin {

namespace {

struct Sampler {
    const MethodInfo& method;
    std::mt19937_64& random;

    Duration operator()(const FixedRunTime& model) const { return model.time; }
    Duration operator()(const LognormalRunTime& model) const
    {
        std::lognormal_distribution<double> factor(0, model.sigma);
        return Duration(std::llround(static_cast<double>(model.median.count()) * factor(random)));
    }
    Duration operator()(const DeclaredRunTime&) const { return method.declaredRunTime; }
};

} // namespace

Duration sampleRunTime(const RunTimeModel& model, const MethodInfo& method, std::mt19937_64& random)
{
    return std::visit(Sampler { method, random }, model);
}

} // namespace Balsammill::Standin
