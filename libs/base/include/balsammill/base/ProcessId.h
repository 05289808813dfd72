#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

namespace Balsammill {

/// Identifies one run of the entry process on a VM.
struct ProcessId {
    VmName vm;
    Incarnation incarnation;

    auto operator<=>(const ProcessId&) const = default;
    bool operator==(const ProcessId&) const = default;
};

} // namespace Balsammill
