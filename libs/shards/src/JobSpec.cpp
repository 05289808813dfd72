#include "balsammill/shards/JobSpec.h"
#include "balsammill/shards/UpstreamInfo.h"

#include <algorithm>

namespace Balsammill::Shards {

Resources& Resources::operator+=(const Resources& other)
{
    milliCores += other.milliCores;
    memoryMb += other.memoryMb;
    accelerators += other.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& other)
{
    milliCores -= other.milliCores;
    memoryMb -= other.memoryMb;
    accelerators -= other.accelerators;
    return *this;
}

bool UpstreamInfo::hasLabel(const std::string& label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace Balsammill::Shards
