#pragma once

#include "balsammill/platform/PlatformClient.h"

#include <string>
#include <vector>

namespace Balsammill::Detail {

struct ParsedVmList {
    std::vector<ListedVm> vms;
    std::size_t malformedRows { 0 };
};

/// Parses the answer of GET /v1/vms. Throws std::exception if the document itself is malformed; a malformed row, or a
/// second row of the same name, is counted and left out.
ParsedVmList parseVmList(const std::string& json);

/// Parses the answer of GET /v1/table: {"values":[{"key","value_base64","etag"}]}. Throws std::exception if any part is
/// malformed, because a missing row would look like an absent key.
std::vector<TableValue> parseTableList(const std::string& json);

} // namespace Balsammill::Detail
