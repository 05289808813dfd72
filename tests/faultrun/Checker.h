#pragma once

#include "Records.h"

#include <string>
#include <vector>

namespace FaultRun {

/// Checks the records of callers, operators and upstreams against these guarantees; one sentence per violation:
/// P1  Each task of a job starts at most once.
/// P2  A complete job has one answer for each task; any other job has none.
/// P3  Each answer belongs to its request, and a call that was answered was started by an upstream.
/// P4  A job or call with the verdict not-run was not started.
/// P5  A call that is not idempotent starts at most once.
/// P6  An upstream on a VM that is leaving gets no new tasks after 3 s.
/// P7  A graceful stop of an entry ends with exit status 0.
/// P8  The configuration version never decreases on an entry, each version is accepted at most once, and all entries
/// end
///     with the newest version.
std::vector<std::string> findViolations(const Records&);

/// Returns the counts of attempts, verdicts, starts and faults as text.
std::string summarize(const Records&);

} // namespace FaultRun
