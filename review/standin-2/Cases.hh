#pragma once

#include "Platform.hh"

// Each case returns true if the rule held. It throws if it could not run.
namespace Review {

bool endsBeyondOneReport(Record&);
bool cancelledWhileEnding(Record&);
bool requestAtProcessEnd(Record&);
bool cancelledBestEffortJob(Record&);
bool cancelledFirstJob(Record&);

} // namespace Review
