#pragma once

#include "Records.h"

#include <string>
#include <vector>

namespace FaultRun {

/// Compares what callers, operators and upstreams saw with the promises P1 to P8; one sentence per violation.
std::vector<std::string> findViolations(const Records&);

/// Counts of attempts, verdicts and faults as text.
std::string summarize(const Records&);

} // namespace FaultRun
