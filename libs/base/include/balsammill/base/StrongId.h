#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace Balsammill {

/// String with a tag type, so that names of different things cannot be mixed up.
template <typename Tag> struct StrongId {
    std::string value;

    StrongId() = default;
    explicit StrongId(std::string initial)
        : value(std::move(initial))
    {
    }
    auto operator<=>(const StrongId&) const = default;
    bool empty() const { return value.empty(); }
};

using VmName = StrongId<struct VmNameTag>;
using FailureDomain = StrongId<struct FailureDomainTag>;
using ClientAccountName = StrongId<struct ClientAccountNameTag>;
/// Full service name, "package.Service".
using ServiceName = StrongId<struct ServiceNameTag>;
/// Full method name, "package.Service/Method".
using MethodName = StrongId<struct MethodNameTag>;
/// Job id qualified by client account and home failure domain. Built in the jobs library.
using JobKey = StrongId<struct JobKeyTag>;
using JobId = StrongId<struct JobIdTag>;
/// "host:port" with a numeric host.
using NetworkAddress = StrongId<struct NetworkAddressTag>;

} // namespace Balsammill

template <typename Tag> struct std::hash<Balsammill::StrongId<Tag>> {
    std::size_t operator()(const Balsammill::StrongId<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value);
    }
};
