#pragma once

#include <cstdint>
#include <string_view>

namespace Balsammill {

/// FNV-1a: the same in every process and build, unlike std::hash, so that processes can agree by it.
inline std::uint64_t stableHash(std::string_view text)
{
    constexpr std::uint64_t offset = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t hash = offset;
    for (const unsigned char c : text)
        hash = (hash ^ c) * prime;
    // The low bits of FNV-1a mix the last bytes poorly.
    constexpr unsigned fold = 29;
    return hash ^ (hash >> fold);
}

} // namespace Balsammill
