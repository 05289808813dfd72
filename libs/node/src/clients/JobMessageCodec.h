#pragma once

#include "OwnerAnswer.h"

#include "balsammill/internal/shard.pb.h"

namespace Balsammill {

/// Translation of jobs and their states between the decision logic and the messages between entries.
void encodeJob(const Shards::JobSpec&, balsammill::internal::ShardJob&);
Shards::JobSpec decodeJob(const balsammill::internal::ShardJob&);
balsammill::internal::StoredJobState::State encodeJobState(Shards::JobState);
Shards::JobState decodeJobState(balsammill::internal::StoredJobState::State);
/// Progress of the tasks of one step.
void encodeTasks(const std::vector<Shards::TaskProgress>&, balsammill::internal::StoredStep&);
std::vector<Shards::TaskProgress> decodeTasks(const balsammill::internal::StoredStep&);
/// All but the number of the submission.
void encodeAnswer(const OwnerAnswer&, balsammill::internal::ShardJobAnswer&);
OwnerAnswer decodeAnswer(const balsammill::internal::ShardJobAnswer&);

} // namespace Balsammill
