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

/// A submission, query or cancellation, together with the identity of the job that it refers to.
struct JobRequest {
    balsammill::internal::JobSubmit call;
    JobId id;
    ClientAccountName clientAccount;
    FailureDomain home;
    JobKey key;

    bool firstAttempt() const { return call.has_submit() && call.submit().first_attempt(); }
};

/// Number of shards per failure domain.
std::uint32_t shardsOf(const ActiveConfig&);

/// Fills in the default client account and home failure domain. Throws RpcError (invalid_argument, not-run) if the id,
/// the client account or the home is invalid.
JobRequest identifyJob(balsammill::internal::JobSubmit, const ActiveConfig&);

/// A submission whose tasks were converted to binary and validated, or the reason why it cannot be admitted as a new
/// job.
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
