#include "balsammill/peer/EnvelopeCodec.h"

#include "HmacSha256.h"

#include <doctest/doctest.h>

using namespace Balsammill;
using balsammill::internal::Envelope;
using balsammill::internal::PeerMessage;

namespace {

EnvelopeCodec codecOf(const std::string& vm, const std::string& secret = "secret", const std::string& deployment = "d")
{
    return EnvelopeCodec({ .self = { VmName(vm), Incarnation(7) },
        .deployment = deployment,
        .secret = secret,
        .maxMessageBytes = 4096 });
}

PeerMessage revocation(std::uint64_t requestId)
{
    PeerMessage message;
    message.mutable_revoke_task()->set_request_id(requestId);
    return message;
}

EnvelopeFault faultOf(const EnvelopeCodec& codec, std::string_view bytes)
{
    const auto opened = codec.open(bytes);
    REQUIRE(std::holds_alternative<EnvelopeFault>(opened));
    return std::get<EnvelopeFault>(opened);
}

} // namespace

// Guards against a digest that is not HMAC-SHA256, with test cases 1 and 2 of RFC 4231.
TEST_CASE("The digest matches the published test vectors")
{
    const auto hex = [](const std::string& bytes) {
        std::string text;
        for (const unsigned char byte : bytes) {
            text += "0123456789abcdef"[byte / 16];
            text += "0123456789abcdef"[byte % 16];
        }
        return text;
    };
    CHECK(hex(Detail::hmacSha256(std::string(20, '\x0b'), "Hi ", "There"))
        == "b0344c61d8db38535ca8afceaf0bf12b881dc200c9833da726e9376c2e32cff7");
    CHECK(hex(Detail::hmacSha256("Jefe", "what do ya want ", "for nothing?"))
        == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against an envelope that loses its sender, sequence number or payload.
TEST_CASE("A sealed message can be opened by its receiver")
{
    const auto bytes = codecOf("a").seal(VmName("b"), 5, revocation(42));
    REQUIRE(bytes);
    const auto opened = codecOf("b").open(*bytes);
    REQUIRE(std::holds_alternative<OpenedEnvelope>(opened));
    const auto& envelope = std::get<OpenedEnvelope>(opened);
    CHECK(envelope.sender == ProcessId { VmName("a"), Incarnation(7) });
    CHECK(envelope.sequence == 5);
    CHECK(envelope.message.revoke_task().request_id() == 42);
}

// Guards against forgery of a field that the digest does not cover.
TEST_CASE("A change to any envelope field is detected")
{
    Envelope original;
    original.ParseFromString(*codecOf("a").seal(VmName("b"), 5, revocation(42)));
    const auto faultAfter = [&](auto change) {
        Envelope changed = original;
        change(changed);
        return faultOf(codecOf("b"), changed.SerializeAsString());
    };
    CHECK(faultAfter([](Envelope& e) { e.set_sender_vm("c"); }) == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.set_sender_incarnation(8); }) == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.set_sequence(6); }) == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.set_payload(revocation(43).SerializeAsString()); })
        == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.mutable_digest()->pop_back(); }) == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.clear_digest(); }) == EnvelopeFault::InvalidDigest);
    CHECK(faultAfter([](Envelope& e) { e.set_protocol_version(2); }) == EnvelopeFault::UnsupportedVersion);
    CHECK(faultAfter([](Envelope& e) { e.set_deployment("other"); }) == EnvelopeFault::WrongDeployment);
    CHECK(faultAfter([](Envelope& e) { e.set_receiver_vm("c"); }) == EnvelopeFault::WrongReceiver);
}

// Guards against accepting envelopes from another deployment, from a sender with another secret or from a faulty one.
TEST_CASE("Envelopes that are foreign, malformed, empty or oversized are rejected")
{
    const auto receiver = codecOf("b");
    CHECK(
        faultOf(receiver, *codecOf("a", "guess").seal(VmName("b"), 1, revocation(1))) == EnvelopeFault::InvalidDigest);
    CHECK(faultOf(receiver, *codecOf("a", "secret", "x").seal(VmName("b"), 1, revocation(1)))
        == EnvelopeFault::WrongDeployment);
    CHECK(faultOf(receiver, *codecOf("a").seal(VmName("b"), 1, PeerMessage())) == EnvelopeFault::Malformed);
    CHECK(faultOf(receiver, "\xff\xff garbage") == EnvelopeFault::Malformed);
    CHECK(faultOf(receiver, "") == EnvelopeFault::UnsupportedVersion);
    CHECK(faultOf(receiver, std::string(4097, 'x')) == EnvelopeFault::Oversized);

    PeerMessage large;
    large.mutable_task_done()->set_answer(std::string(4090, 'x'));
    CHECK_FALSE(codecOf("a").seal(VmName("b"), 1, large).has_value());
    CHECK_THROWS_AS(codecOf("a", ""), std::invalid_argument);
}
