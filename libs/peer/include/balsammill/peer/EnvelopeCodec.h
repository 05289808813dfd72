#pragma once

#include "balsammill/base/ProcessId.h"

#include <balsammill/internal/peer.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace Balsammill {

/// Why a received envelope is dropped.
enum class EnvelopeFault {
    Malformed,
    Oversized,
    Version,
    Deployment,
    Receiver,
    Digest,
};

std::string_view nameOf(EnvelopeFault);

struct EnvelopeCodecOptions {
    ProcessId self;
    std::string deployment;
    /// Key of the HMAC-SHA256; must not be empty.
    std::string secret;
    std::size_t maxMessageBytes { 32 * 1024 * 1024 };
};

struct OpenedEnvelope {
    ProcessId sender;
    std::uint64_t sequence { 0 };
    balsammill::internal::PeerMessage message;
};

/// Seals messages into authenticated envelopes and opens them. Thread-safe, because it is immutable.
class EnvelopeCodec {
public:
    static constexpr std::uint32_t protocolVersion = 1;

    /// Throws std::invalid_argument if the secret, the deployment or the own VM name is empty.
    explicit EnvelopeCodec(EnvelopeCodecOptions);

    /// Bytes of the envelope; empty if they would be more than maxMessageBytes.
    std::optional<std::string> seal(
        const VmName& receiver, std::uint64_t sequence, const balsammill::internal::PeerMessage&) const;

    std::variant<OpenedEnvelope, EnvelopeFault> open(std::string_view bytes) const;

private:
    std::optional<EnvelopeFault> check(const balsammill::internal::Envelope&) const;
    std::string digestOf(const balsammill::internal::Envelope&) const;

    EnvelopeCodecOptions options_;
};

} // namespace Balsammill
