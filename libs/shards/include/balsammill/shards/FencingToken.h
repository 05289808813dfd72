#pragma once

#include "balsammill/base/Units.h"

namespace Balsammill::Shards {

/// Orders requests to one upstream: the upstream carries out nothing whose token is lower than one that it has seen.
using FencingToken = StrongNumber<struct FencingTokenTag>;

/// The fencing tokens of one owner's requests to one upstream. They are higher than those of all earlier owners. An
/// owner raises its token to invalidate its own earlier requests: once a request with the raised token has been
/// answered, an earlier one without an answer has been carried out already or never will be.
class FencingTokens {
public:
    explicit FencingTokens(Epoch epoch)
        : current_(epoch.value << raiseBits)
        , last_(current_.value + (std::uint64_t { 1 } << raiseBits) - 1)
    {
    }

    FencingToken current() const { return current_; }
    Epoch epoch() const { return Epoch(current_.value >> raiseBits); }
    /// Returns the current token. The last token of an owner is kept instead of using one of the next owner.
    FencingToken raise()
    {
        if (current_ < last_)
            ++current_.value;
        return current_;
    }

private:
    // Leaves 33 bits for epochs in numbers that JSON implementations represent exactly.
    static constexpr unsigned raiseBits = 20;

    FencingToken current_;
    FencingToken last_;
};

} // namespace Balsammill::Shards
