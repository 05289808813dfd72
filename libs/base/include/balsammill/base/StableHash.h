#pragma once

#include <cstdint>
#include <string_view>

namespace Balsammill {

/// FNV-1a based hash. Unlike std::hash, it returns the same value in every process and build, so that processes can
/// make the same decision independently.
inline std::uint64_t stableHash(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const unsigned char c : text)
        hash = (hash ^ c) * prime;
    // FNV-1a mixes the last bytes of the input poorly into the low bits, so the high bits are folded into them.
    constexpr unsigned fold = 29;
    return hash ^ (hash >> fold);
}

} // namespace Balsammill
