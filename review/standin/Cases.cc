#include "Cases.hh"

namespace Review {

const std::map<std::string, Case>& cases()
{
    static const std::map<std::string, Case> all {
        { "zone-without-entries", zoneWithoutEntries },
        { "home-shard-without-worker", homeShardWithoutWorker },
        { "probation-without-end", probationWithoutEnd },
        { "count-without-refused-start", countWithoutRefusedStart },
        { "done-and-run-again", doneAndRunAgain },
        { "reservation-without-end", reservationWithoutEnd },
        { "refused-although-stored", refusedAlthoughStored },
        { "refused-after-start", refusedAfterStart },
    };
    return all;
}

} // namespace Review
