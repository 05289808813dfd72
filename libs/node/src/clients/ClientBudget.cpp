#include "ClientBudget.h"

#include <algorithm>

namespace Balsammill {

namespace {

// Descriptors that the platform reserves for files.
constexpr std::uint64_t fileReserve = 200;
// Part of the descriptors for connections to upstreams, the store and other entries, and its minimum.
constexpr std::uint64_t ownConnectionsDivisor = 4;
constexpr std::uint64_t minOwnConnections = 256;
// Far above what the clients of one entry open: a few dozen connections with one request each.
constexpr std::uint64_t minClientConnections = 256;
// Part of the memory for buffered bytes of clients, and its minimum: 64 request bodies of the largest permitted size.
constexpr std::uint64_t bufferDivisor = 4;
constexpr std::uint64_t minBufferedBytes = 16ULL * 1024 * 1024;
constexpr std::uint64_t bytesPerMb = 1024ULL * 1024;

} // namespace

HttpServerBudget clientBudget(const NodeSettings& settings)
{
    HttpServerBudget budget;
    if (settings.fileDescriptors > 0) {
        const auto reserved
            = fileReserve + std::max(settings.fileDescriptors / ownConnectionsDivisor, minOwnConnections);
        const auto left = settings.fileDescriptors > reserved ? settings.fileDescriptors - reserved : 0;
        budget.maxConnections = std::max(left, minClientConnections);
    }
    if (settings.memoryMb > 0)
        budget.maxBufferedBytes = std::max(settings.memoryMb * bytesPerMb / bufferDivisor, minBufferedBytes);
    return budget;
}

HttpServerBudget internalBudget() { return { .maxConnections = 64, .maxBufferedBytes = 1024ULL * 1024 }; }

} // namespace Balsammill
