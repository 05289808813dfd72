#include "ProxyFaults.h"

#include <set>
#include <stdexcept>
#include <string>

namespace Balsammill::Standin {

namespace {

Duration durationOf(const Poco::JSON::Object& object, const std::string& member)
{
    if (!object.has(member))
        return {};
    const auto value = object.getValue<double>(member);
    if (!(value >= 0))
        throw std::invalid_argument(member + " must be at least 0");
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value));
}

bool flagOf(const Poco::JSON::Object& object, const std::string& member)
{
    return object.has(member) && object.getValue<bool>(member);
}

void rejectUnknownMembers(const Poco::JSON::Object& object)
{
    static const std::set<std::string> known { "delay_ms", "jitter_ms", "cut", "drop_to_target", "drop_from_target",
        "hold", "close_after_bytes" };
    for (const auto& name : object.getNames()) {
        if (!known.contains(name))
            throw std::invalid_argument("unknown fault \"" + name + "\"");
    }
}

} // namespace

RouteFaults parseRouteFaults(const Poco::JSON::Object& object)
{
    rejectUnknownMembers(object);
    const DirectionFaults both {
        .delay = durationOf(object, "delay_ms"),
        .jitter = durationOf(object, "jitter_ms"),
        .drop = false,
        .hold = flagOf(object, "hold"),
    };
    RouteFaults faults { .toTarget = both, .fromTarget = both, .cut = flagOf(object, "cut"), .closeAfterBytes = {} };
    faults.toTarget.drop = flagOf(object, "drop_to_target");
    faults.fromTarget.drop = flagOf(object, "drop_from_target");
    if (object.has("close_after_bytes") && !object.isNull("close_after_bytes"))
        faults.closeAfterBytes = object.getValue<Poco::UInt64>("close_after_bytes");
    return faults;
}

} // namespace Balsammill::Standin
