#include "FaultList.h"

#include "balsammill/config/ConfigValidation.h"

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr std::size_t maxShownBytes = 80;

bool isNameCharacter(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '.' || c == '_'
        || c == '-';
}

} // namespace

void FaultList::add(std::string field, std::string_view value, std::string cause)
{
    std::string shown(value.substr(0, maxShownBytes));
    if (shown.size() < value.size())
        shown += "...";
    faults_.push_back({ .field = std::move(field), .value = std::move(shown), .cause = std::move(cause) });
}

void FaultList::checkAtMost(const std::string& field, std::uint64_t value, std::uint64_t maximum)
{
    if (value > maximum)
        add(field, std::to_string(value), "at most " + std::to_string(maximum) + " is allowed");
}

void FaultList::checkName(const std::string& field, const std::string& value)
{
    if (value.empty())
        add(field, value, "must not be empty");
    else if (value.size() > ConfigBounds::nameBytes)
        add(field, value,
            "has " + std::to_string(value.size()) + " bytes, at most " + std::to_string(ConfigBounds::nameBytes)
                + " are allowed");
    else if (!std::all_of(value.begin(), value.end(), isNameCharacter))
        add(field, value, "may contain only letters, digits, '.', '_' and '-'");
}

void FaultList::checkUnique(const std::string& field, const std::string& value, std::set<std::string>& seen)
{
    if (!seen.insert(value).second)
        add(field, value, "is listed twice");
}

std::string indexed(std::string_view list, int index, std::string_view member)
{
    auto path = std::string(list) + "[" + std::to_string(index) + "]";
    if (!member.empty())
        path.append(".").append(member);
    return path;
}

} // namespace Balsammill::Detail
