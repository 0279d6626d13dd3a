// Machines kept for a waiting job during the rest of a pass, so that smaller or less entitled work
// does not take what is about to be enough for it. A nomination lasts for the pass alone and is
// made anew by the next; what a plan of moves holds is a reservation (reservations.hpp).
#pragma once

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Keeps a machine for a job that found none: one where enough is being released for a task, or,
/// for large tasks that have waited as long as a boot, the one that has most GPUs free.
void nominate_machine(CandidateSet& candidates, const Job& job, double now);

/// Keeps machines for all tasks of a gang that found no room, those of one zone if it has to be
/// whole in one; none unless there are enough.
void nominate_gang_machines(CandidateSet& candidates, const Job& job, double now);

}  // namespace cranklock::sched
