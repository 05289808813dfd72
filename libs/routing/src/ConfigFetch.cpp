#include "balsammill/routing/ConfigFetch.h"

#include <zlib.h>

#include <utility>

namespace Balsammill {

std::optional<ConfigPieceRequest> ConfigFetch::handleVersion(ConfigVersion version, TimePoint now)
{
    if (version <= adopted_)
        return std::nullopt;
    if (!requestFrom_)
        requestFrom_ = now + storeDelay;
    if (now < *requestFrom_ || (answerBy_ && now < *answerBy_))
        return std::nullopt;
    if (transfer_ && now >= transfer_->progressBy)
        transfer_.reset();
    // A peer with an older version cannot continue the transfer.
    if (transfer_ && version < transfer_->version)
        return std::nullopt;
    return request(version, now);
}

ConfigPieceRequest ConfigFetch::request(ConfigVersion version, TimePoint now)
{
    answerBy_ = now + answerTimeout;
    if (transfer_)
        return { .version = transfer_->version, .offset = transfer_->received.size() };
    return { .version = version, .offset = 0 };
}

ConfigFetchResult ConfigFetch::handlePiece(const ConfigPiece& piece, TimePoint now)
{
    if (piece.version <= adopted_)
        return std::monostate {};
    const bool continues = transfer_ && piece.version == transfer_->version && piece.checksum == transfer_->checksum
        && piece.compressedBytes == transfer_->compressedBytes;
    if (!continues) {
        if (piece.offset != 0 || (transfer_ && piece.version < transfer_->version))
            return std::monostate {};
        transfer_ = { .version = piece.version,
            .compressedBytes = piece.compressedBytes,
            .documentBytes = piece.documentBytes,
            .checksum = piece.checksum };
    }
    // A piece can arrive twice if the first answer was late.
    if (piece.offset != transfer_->received.size())
        return std::monostate {};
    if (piece.bytes.empty() || piece.documentBytes > maxConfigDocumentBytes
        || piece.bytes.size() > transfer_->compressedBytes - transfer_->received.size())
        return reject("a piece of the configuration has a wrong size");
    transfer_->received += piece.bytes;
    transfer_->progressBy = now + progressTimeout;
    if (transfer_->received.size() < transfer_->compressedBytes)
        return request(transfer_->version, now);
    return complete();
}

ConfigFetchResult ConfigFetch::complete()
{
    const auto* bytes = reinterpret_cast<const Bytef*>(transfer_->received.data());
    if (crc32(0, bytes, static_cast<uInt>(transfer_->received.size())) != transfer_->checksum)
        return reject("the checksum of the configuration is wrong");
    std::string document(transfer_->documentBytes, '\0');
    auto size = static_cast<uLongf>(document.size());
    if (uncompress(reinterpret_cast<Bytef*>(document.data()), &size, bytes, transfer_->received.size()) != Z_OK
        || size != document.size())
        return reject("the configuration cannot be decompressed");
    FetchedConfig fetched { .version = transfer_->version, .document = std::move(document) };
    transfer_.reset();
    return fetched;
}

ConfigFetchResult ConfigFetch::reject(std::string reason)
{
    transfer_.reset();
    return BadConfigTransfer { std::move(reason) };
}

void ConfigFetch::setAdopted(ConfigVersion version)
{
    adopted_ = version;
    requestFrom_.reset();
    if (transfer_ && transfer_->version > version)
        return;
    transfer_.reset();
    answerBy_.reset();
}

} // namespace Balsammill
