#include "HmacSha256.h"

#include <Poco/HMACEngine.h>
#include <Poco/SHA2Engine.h>

namespace Balsammill::Detail {

namespace {

// HMACEngine reads the block and digest sizes from constants of its engine, which Poco::SHA2Engine does not define.
// Poco::Crypto's engine is not used: creating and destroying it on several threads races on OpenSSL's global locks.
class Sha256Engine : public Poco::SHA2Engine {
public:
    enum {
        BLOCK_SIZE = 64, // NOLINT(readability-identifier-naming): name required by HMACEngine
        DIGEST_SIZE = 32, // NOLINT(readability-identifier-naming): name required by HMACEngine
    };

    Sha256Engine()
        : Poco::SHA2Engine(SHA_256)
    {
    }
};

} // namespace

std::string hmacSha256(const std::string& key, std::string_view first, std::string_view second)
{
    Poco::HMACEngine<Sha256Engine> engine(key);
    engine.update(first.data(), first.size());
    engine.update(second.data(), second.size());
    const auto& digest = engine.digest();
    return { digest.begin(), digest.end() };
}

bool equalInConstantTime(std::string_view first, std::string_view second)
{
    if (first.size() != second.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < first.size(); ++i)
        difference |= static_cast<unsigned char>(first[i]) ^ static_cast<unsigned char>(second[i]);
    return difference == 0;
}

} // namespace Balsammill::Detail
