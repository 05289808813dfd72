#pragma once

#include "Record.hh"

#include <functional>
#include <map>
#include <string>

namespace Review {

inline constexpr int held = 0;
inline constexpr int broken = 1;
inline constexpr int couldNotRun = 2;

struct CaseContext {
    Record& record;
    std::string program;
    bool disrupted { true };
};

using Case = std::function<int(const CaseContext&)>;

const std::map<std::string, Case>& cases();

int zoneWithoutEntries(const CaseContext&);
int homeShardWithoutWorker(const CaseContext&);
int probationWithoutEnd(const CaseContext&);
int countWithoutRefusedStart(const CaseContext&);
int doneAndRunAgain(const CaseContext&);
int reservationWithoutEnd(const CaseContext&);
int refusedAlthoughStored(const CaseContext&);
int refusedAfterStart(const CaseContext&);

} // namespace Review
