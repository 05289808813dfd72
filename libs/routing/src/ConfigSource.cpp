#include "balsammill/routing/ConfigSource.h"

#include <zlib.h>

#include <utility>

namespace Balsammill {

namespace {

std::string compress(const std::string& text)
{
    auto size = compressBound(text.size());
    std::string result(size, '\0');
    // Fails only for lack of memory or a buffer that is too small.
    if (compress2(reinterpret_cast<Bytef*>(result.data()), &size, reinterpret_cast<const Bytef*>(text.data()),
            text.size(), Z_BEST_SPEED)
        != Z_OK)
        throw std::bad_alloc();
    result.resize(size);
    return result;
}

} // namespace

void ConfigSource::setDocument(ConfigVersion version, std::string document)
{
    previous_ = std::exchange(current_, { .version = version, .text = std::move(document) });
}

std::optional<ConfigPiece> ConfigSource::piece(const ConfigPieceRequest& request)
{
    for (auto* document : { &current_, &previous_ }) {
        if (document->version != request.version)
            continue;
        if (auto piece = pieceOf(*document, request.offset))
            return piece;
    }
    return pieceOf(current_, 0);
}

std::optional<ConfigPiece> ConfigSource::pieceOf(Document& document, std::uint64_t offset)
{
    if (document.text.empty() || document.text.size() > maxConfigDocumentBytes)
        return std::nullopt;
    if (document.compressed.empty()) {
        document.compressed = compress(document.text);
        document.checksum = static_cast<std::uint32_t>(crc32(0,
            reinterpret_cast<const Bytef*>(document.compressed.data()), static_cast<uInt>(document.compressed.size())));
    }
    if (offset >= document.compressed.size())
        return std::nullopt;
    return ConfigPiece { .version = document.version,
        .offset = offset,
        .bytes = document.compressed.substr(offset, maxPieceBytes),
        .compressedBytes = document.compressed.size(),
        .documentBytes = document.text.size(),
        .checksum = document.checksum };
}

} // namespace Balsammill
