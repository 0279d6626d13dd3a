// Nominations: machines set aside for a waiting job for the rest of a pass, so that smaller or less
// entitled jobs do not take resources that will soon suffice for it. A nomination lasts for one
// pass and is renewed by the next; resources held by a move plan are reservations
// (reservations.hpp).
#pragma once

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Nominates a machine for a job that could not be placed: one on which a task will fit once
/// stopping tasks release their resources, or, for large tasks that have waited as long as a boot
/// takes, the one with the most free GPUs.
void nominate_machine(CandidateSet& candidates, const Job& job, double now);

/// Nominates machines for all tasks of a gang that could not be placed, or none if there are too
/// few. All are in one zone if the gang requires it.
void nominate_gang_machines(CandidateSet& candidates, const Job& job, double now);

}  // namespace cranklock::sched
