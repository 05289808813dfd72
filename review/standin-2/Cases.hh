#pragma once

#include "Platform.hh"

// Each case returns true if the rule held. It throws if it could not run.
namespace Review {

bool endsBeyondOneReport(Record&);
bool requestAtProcessEnd(Record&);
bool lostUpstreamOfHomeShard(Record&);
bool cancelledWhileEnding(Record&);
bool startedJobsNotCounted(Record&);
bool cancelledBestEffortJob(Record&);

} // namespace Review
