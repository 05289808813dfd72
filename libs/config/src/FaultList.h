#pragma once

#include "balsammill/config/ConfigError.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Balsammill::Detail {

/// Collects the faults found in one configuration or change.
class FaultList {
public:
    void add(std::string field, std::string_view value, std::string cause);

    void checkAtMost(const std::string& field, std::uint64_t value, std::uint64_t maximum);
    /// Names are used in headers, table keys and logs, so only letters, digits and "._-" are allowed.
    void checkName(const std::string& field, const std::string& value);
    void checkUnique(const std::string& field, const std::string& value, std::set<std::string>& seen);

    std::vector<ConfigFault> take() { return std::move(faults_); }

private:
    std::vector<ConfigFault> faults_;
};

/// Builds a field path such as "services[1].name".
std::string indexed(std::string_view list, int index, std::string_view member = {});

} // namespace Balsammill::Detail
