#include "RendezvousHash.h"

namespace Balsammill::Detail {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037U;
constexpr std::uint64_t fnvPrime = 1099511628211U;

std::uint64_t addBytes(std::uint64_t hash, const std::string& text)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    // Separates the two names.
    return (hash ^ 0xff) * fnvPrime;
}

// Finaliser of SplitMix64. FNV-1a alone gives similar names similar high bits, which would decide the comparison.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t rendezvousHash(const VmName& item, const VmName& owner)
{
    return mix(addBytes(addBytes(fnvOffset, item.value), owner.value));
}

} // namespace Balsammill::Detail
