#include "RendezvousHash.h"

namespace Balsammill::Detail {

namespace {

constexpr std::uint64_t fnvOffset = 14695981039346656037U;
constexpr std::uint64_t fnvPrime = 1099511628211U;

// FNV-1a.
std::uint64_t appendToHash(std::uint64_t hash, const std::string& text)
{
    for (const char c : text)
        hash = (hash ^ static_cast<unsigned char>(c)) * fnvPrime;
    // Terminates the name, so that the boundary between two names affects the hash.
    return (hash ^ 0xff) * fnvPrime;
}

// Finaliser of SplitMix64. FNV-1a alone gives similar names similar high bits, which dominate the comparison of
// weights.
std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31);
}

} // namespace

std::uint64_t rendezvousHash(const VmName& item, const VmName& owner)
{
    return mix(appendToHash(appendToHash(fnvOffset, item.value), owner.value));
}

} // namespace Balsammill::Detail
