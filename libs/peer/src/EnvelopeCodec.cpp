#include "balsammill/peer/EnvelopeCodec.h"

#include "HmacSha256.h"

#include <stdexcept>

namespace Balsammill {

namespace {

using balsammill::internal::Envelope;
using balsammill::internal::PeerMessage;

void appendNumber(std::string& bytes, std::uint64_t number)
{
    for (int shift = 0; shift < 64; shift += 8)
        bytes += static_cast<char>((number >> shift) & 0xff);
}

// The length prefix makes the digest input unambiguous: bytes cannot move between adjacent fields unnoticed.
void appendField(std::string& bytes, const std::string& field)
{
    appendNumber(bytes, field.size());
    bytes += field;
}

void requireNonEmpty(const std::string& value, const std::string& name)
{
    if (value.empty())
        throw std::invalid_argument(name + ": expected a value, got an empty string");
}

} // namespace

std::string_view nameOf(EnvelopeFault fault)
{
    switch (fault) {
    case EnvelopeFault::Malformed:
        return "malformed message";
    case EnvelopeFault::Oversized:
        return "message over the size limit";
    case EnvelopeFault::UnsupportedVersion:
        return "unsupported protocol version";
    case EnvelopeFault::WrongDeployment:
        return "sent by another deployment";
    case EnvelopeFault::WrongReceiver:
        return "addressed to another VM";
    case EnvelopeFault::InvalidDigest:
        return "invalid digest";
    }
    return "unknown fault";
}

EnvelopeCodec::EnvelopeCodec(EnvelopeCodecOptions options)
    : options_(std::move(options))
{
    requireNonEmpty(options_.secret, "peer secret");
    requireNonEmpty(options_.deployment, "deployment name");
    requireNonEmpty(options_.self.vm.value, "own VM name");
}

std::string EnvelopeCodec::digestOf(const Envelope& envelope) const
{
    std::string header;
    appendNumber(header, envelope.protocol_version());
    appendField(header, envelope.deployment());
    appendField(header, envelope.sender_vm());
    appendNumber(header, envelope.sender_incarnation());
    appendNumber(header, envelope.sequence());
    appendField(header, envelope.receiver_vm());
    appendNumber(header, envelope.payload().size());
    return Detail::hmacSha256(options_.secret, header, envelope.payload());
}

std::optional<std::string> EnvelopeCodec::seal(
    const VmName& receiver, std::uint64_t sequence, const PeerMessage& message) const
{
    if (message.ByteSizeLong() > options_.maxMessageBytes)
        return std::nullopt;
    Envelope envelope;
    envelope.set_protocol_version(protocolVersion);
    envelope.set_deployment(options_.deployment);
    envelope.set_sender_vm(options_.self.vm.value);
    envelope.set_sender_incarnation(options_.self.incarnation.value);
    envelope.set_sequence(sequence);
    envelope.set_receiver_vm(receiver.value);
    message.SerializeToString(envelope.mutable_payload());
    envelope.set_digest(digestOf(envelope));
    if (envelope.ByteSizeLong() > options_.maxMessageBytes)
        return std::nullopt;
    return envelope.SerializeAsString();
}

std::optional<EnvelopeFault> EnvelopeCodec::findFault(const Envelope& envelope) const
{
    if (envelope.protocol_version() != protocolVersion)
        return EnvelopeFault::UnsupportedVersion;
    if (envelope.deployment() != options_.deployment)
        return EnvelopeFault::WrongDeployment;
    if (envelope.receiver_vm() != options_.self.vm.value)
        return EnvelopeFault::WrongReceiver;
    if (!Detail::equalInConstantTime(envelope.digest(), digestOf(envelope)))
        return EnvelopeFault::InvalidDigest;
    if (envelope.sender_vm().empty())
        return EnvelopeFault::Malformed;
    return std::nullopt;
}

std::variant<OpenedEnvelope, EnvelopeFault> EnvelopeCodec::open(std::string_view bytes) const
{
    if (bytes.size() > options_.maxMessageBytes)
        return EnvelopeFault::Oversized;
    Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return EnvelopeFault::Malformed;
    if (const auto fault = findFault(envelope))
        return *fault;
    OpenedEnvelope opened { { VmName(envelope.sender_vm()), Incarnation(envelope.sender_incarnation()) },
        envelope.sequence(), {} };
    if (!opened.message.ParseFromString(envelope.payload()) || opened.message.body_case() == PeerMessage::BODY_NOT_SET)
        return EnvelopeFault::Malformed;
    return opened;
}

} // namespace Balsammill
