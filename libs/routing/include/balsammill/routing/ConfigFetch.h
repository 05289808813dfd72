#pragma once

#include "balsammill/base/Units.h"
#include "balsammill/routing/ConfigPieces.h"

#include <optional>
#include <string>
#include <variant>

namespace Balsammill {

/// A complete document of a newer configuration.
struct FetchedConfig {
    ConfigVersion version;
    std::string document;
};

/// The pieces do not form a document; the transfer begins again.
struct BadConfigTransfer {
    std::string reason;
};

/// Empty if the piece was not needed.
using ConfigFetchResult = std::variant<std::monostate, ConfigPieceRequest, FetchedConfig, BadConfigTransfer>;

/// Decides when to request which piece of a newer configuration from a peer. At most one request is open at a time, and
/// pieces that have been received are kept when a connection ends or the next one comes from another peer.
class ConfigFetch {
public:
    /// Time for the store to deliver a newer configuration before peers are asked for it.
    static constexpr Duration storeDelay = std::chrono::milliseconds(300);
    /// A request without an answer is repeated after this time.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(1000);
    /// A transfer without progress is abandoned after this time, as no peer may have its version any more.
    static constexpr Duration progressTimeout = std::chrono::milliseconds(3000);

    /// A peer reports that it has this version. Returns the request to send to it now, if any.
    std::optional<ConfigPieceRequest> handleVersion(ConfigVersion, TimePoint now);
    /// Returns the next request for the same peer, or the document.
    ConfigFetchResult handlePiece(const ConfigPiece&, TimePoint now);
    /// The open request will not be answered.
    void handleRequestLost() { answerBy_.reset(); }
    /// This version is in force.
    void setAdopted(ConfigVersion);

private:
    struct Transfer {
        ConfigVersion version;
        std::uint64_t compressedBytes { 0 };
        std::uint64_t documentBytes { 0 };
        std::uint32_t checksum { 0 };
        TimePoint progressBy {};
        std::string received {};
    };

    ConfigPieceRequest request(ConfigVersion, TimePoint now);
    ConfigFetchResult complete();
    ConfigFetchResult reject(std::string reason);

    ConfigVersion adopted_;
    /// Set while a newer version than the adopted one is known.
    std::optional<TimePoint> requestFrom_;
    std::optional<TimePoint> answerBy_;
    std::optional<Transfer> transfer_;
};

} // namespace Balsammill
