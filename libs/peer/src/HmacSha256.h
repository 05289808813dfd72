#pragma once

#include <string>
#include <string_view>

namespace Balsammill::Detail {

/// 32 bytes of HMAC-SHA256 over both parts, one after the other.
std::string hmacSha256(const std::string& key, std::string_view first, std::string_view second);

/// Takes the same time wherever the first difference is, so that a forger learns nothing from the time taken.
bool equalInConstantTime(std::string_view, std::string_view);

} // namespace Balsammill::Detail
