// Nominations: machines on which resources are kept for a waiting job, its nominee, for the rest of
// a pass, so that smaller or less entitled jobs do not take what will soon suffice for it. A
// nomination lasts for one pass and is renewed by the next; resources held by a move plan are
// reservations (reservations.hpp).
//
// A machine is nominated only where the nominee will fit once the tasks that end by themselves have
// ended: replicas stand until they are cancelled. Other work may use a nominated machine if it does
// not delay the nominee, because it ends in time or because it fits beside the nominee.
#pragma once

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Whether a nomination for the job is possible at all. Cheap, so that thousands of small waiting
/// jobs cost no search of the fleet.
bool may_be_nominated(const CandidateSet& candidates, const Job& job, double now);

/// Nominates a machine for a job that could not be placed: one on which a task will fit once
/// stopping tasks release their resources, or, for large tasks that have waited as long as a boot
/// takes, the one that lacks the least.
void nominate_machine(CandidateSet& candidates, const Job& job, double now);

/// Nominates machines for all tasks of a gang that could not be placed, or none if its tasks will
/// not all fit. All are in one zone if the gang requires it.
void nominate_gang_machines(CandidateSet& candidates, const Job& job, double now);

/// Whether a nomination keeps the machine from a task of the job now: the task would delay the
/// nominee.
bool is_kept_for_nominee(const Candidate& candidate, const Job& job);

/// Subtracts a task of the job from the free resources of the machine and, if it is not expected to
/// end before the nominee starts, from those that the nominee does not need.
void allocate_task(Candidate& candidate, const Job& job);

}  // namespace cranklock::sched
