#pragma once

#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// HMAC-SHA256 (32 bytes) of the concatenation of first and second.
std::string hmacSha256(const std::string& key, std::string_view first, std::string_view second);

/// Compares in a time that does not depend on where the inputs differ, which prevents timing attacks on the digest.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace Balsammill::Detail
