#pragma once

#include "balsammill/base/ProcessId.h"

#include <balsammill/internal/peer.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Balsammill {

/// Reason why a received envelope is rejected.
enum class EnvelopeFault {
    Malformed,
    Oversized,
    UnsupportedVersion,
    WrongDeployment,
    WrongReceiver,
    InvalidDigest,
};

std::string_view nameOf(EnvelopeFault);

struct EnvelopeCodecOptions {
    ProcessId self;
    std::string deployment;
    /// HMAC-SHA256 key; must not be empty.
    std::string secret;
    std::size_t maxMessageBytes { 32 * 1024 * 1024 };
};

struct OpenedEnvelope {
    ProcessId sender;
    std::uint64_t sequence { 0 };
    balsammill::internal::PeerMessage message;
};

/// Wraps messages in envelopes authenticated with HMAC-SHA256, and verifies and unwraps received envelopes. Immutable
/// and therefore thread-safe.
class EnvelopeCodec {
public:
    static constexpr std::uint32_t protocolVersion = 1;

    /// Throws std::invalid_argument if the secret, the deployment name or this process's VM name is empty.
    explicit EnvelopeCodec(EnvelopeCodecOptions);

    /// Returns the serialized envelope, or std::nullopt if it would exceed maxMessageBytes.
    std::optional<std::string> seal(
        const VmName& receiver, std::uint64_t sequence, const balsammill::internal::PeerMessage&) const;

    /// Verifies an envelope and parses its message; returns the first fault found instead if there is one.
    std::variant<OpenedEnvelope, EnvelopeFault> open(std::string_view bytes) const;

private:
    std::optional<EnvelopeFault> findFault(const balsammill::internal::Envelope&) const;
    std::string digestOf(const balsammill::internal::Envelope&) const;

    EnvelopeCodecOptions options_;
};

} // namespace Balsammill
