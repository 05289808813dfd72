#pragma once

#include "balsammill/base/Units.h"

#include <cstdint>
#include <string>

namespace Balsammill {

/// Selects a part of a compressed configuration document.
struct ConfigPieceRequest {
    ConfigVersion version;
    /// First byte in the compressed document.
    std::uint64_t offset { 0 };

    bool operator==(const ConfigPieceRequest&) const = default;
};

/// A part of a compressed configuration document. All pieces with the same version, size and checksum belong together,
/// whichever entry sends them.
struct ConfigPiece {
    ConfigVersion version;
    std::uint64_t offset { 0 };
    std::string bytes;
    std::uint64_t compressedBytes { 0 };
    std::uint64_t documentBytes { 0 };
    /// CRC-32 of the compressed document.
    std::uint32_t checksum { 0 };
};

/// Larger documents are not transferred.
constexpr std::uint64_t maxConfigDocumentBytes = 16ULL * 1024 * 1024;

} // namespace Balsammill
