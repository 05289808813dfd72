#pragma once

#include "balsammill/routing/ConfigPieces.h"

#include <optional>
#include <string>

namespace Balsammill {

/// Divides the configuration document into pieces for entries that do not receive it from the store. Keeps the previous
/// document as well, so that a transfer can be completed while the configuration changes.
class ConfigSource {
public:
    /// Small enough that the heartbeats on the same connection are not delayed.
    static constexpr std::size_t maxPieceBytes = 32 * 1024;

    void setDocument(ConfigVersion, std::string document);
    /// Returns the requested piece, or the first piece of the current document if the requested one does not exist.
    /// Empty if there is no document or it is too large.
    std::optional<ConfigPiece> piece(const ConfigPieceRequest&);
    const std::string& document() const { return current_.text; }

private:
    struct Document {
        ConfigVersion version;
        std::string text;
        /// Empty until the first piece is requested.
        std::string compressed {};
        std::uint32_t checksum { 0 };
    };

    static std::optional<ConfigPiece> pieceOf(Document&, std::uint64_t offset);

    Document current_;
    Document previous_;
};

} // namespace Balsammill
