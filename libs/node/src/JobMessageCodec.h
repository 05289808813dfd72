#pragma once

#include "balsammill/shards/JobSpec.h"

namespace balsammill::internal {
class ShardJob;
}

namespace Balsammill {

/// Translation of a job between the decision logic and the messages between entries.
void encodeJob(const Shards::JobSpec&, balsammill::internal::ShardJob&);
Shards::JobSpec decodeJob(const balsammill::internal::ShardJob&);

} // namespace Balsammill
