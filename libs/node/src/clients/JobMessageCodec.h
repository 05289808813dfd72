#pragma once

#include "OwnerAnswer.h"

#include "balsammill/internal/shard.pb.h"

namespace Balsammill {

/// Conversion of jobs, their states and answers between the scheduler's types and the protobuf messages between
/// entries.
void encodeJob(const Shards::JobSpec&, balsammill::internal::ShardJob&);
Shards::JobSpec decodeJob(const balsammill::internal::ShardJob&);
balsammill::internal::StoredJobState::State encodeJobState(Shards::JobState);
Shards::JobState decodeJobState(balsammill::internal::StoredJobState::State);
/// Progress of the tasks of one step: a bit mask of the completed tasks, and a row for each other task with failures or
/// a counted run.
void encodeTasks(const std::vector<Shards::TaskProgress>&, balsammill::internal::StoredStep&);
std::vector<Shards::TaskProgress> decodeTasks(const balsammill::internal::StoredStep&);
/// Encodes all fields but the submission number.
void encodeAnswer(const OwnerAnswer&, balsammill::internal::ShardJobAnswer&);
OwnerAnswer decodeAnswer(const balsammill::internal::ShardJobAnswer&);

} // namespace Balsammill
