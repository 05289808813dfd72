#pragma once

#include "balsammill/base/RpcError.h"
#include "balsammill/base/StrongId.h"
#include "balsammill/jobs/JobIdentity.h"

#include "balsammill/internal/peer.pb.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace Balsammill {

struct ActiveConfig;

namespace Detail {

/// A submission, query or cancellation together with the job that it names.
struct JobRequest {
    balsammill::internal::JobSubmit call;
    JobId id;
    ClientAccountName clientAccount;
    FailureDomain home;
    JobKey key;

    bool firstAttempt() const { return call.has_submit() && call.submit().first_attempt(); }
};

/// Number of shards of every failure domain.
std::uint32_t shardsOf(const ActiveConfig&);

/// Fills in the default client account and the home; throws RpcError (invalid_argument, not-run) if the id or the home
/// is wrong.
JobRequest identifyJob(balsammill::internal::JobSubmit, const ActiveConfig&);

/// A submission whose tasks are binary and fit the schema, or why no new job of this content can be admitted.
struct PreparedSubmission {
    std::shared_ptr<const balsammill::v1::SubmitRequest> content;
    std::optional<RpcErrorDetails> refusal;
};
PreparedSubmission prepareSubmission(
    const balsammill::v1::SubmitRequest&, const ActiveConfig&, std::uint32_t maxTasksPerJob);

balsammill::internal::RpcFailure toFailure(const RpcErrorDetails&);
RpcErrorDetails fromFailure(const balsammill::internal::RpcFailure&);

} // namespace Detail
} // namespace Balsammill
