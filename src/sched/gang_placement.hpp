// Selects machines for all tasks of a gang at once.
#pragma once

#include <vector>

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Machines on which all tasks of the gang fit at the same time, one entry per task in order; empty
/// if they do not all fit. The free resources of the candidates are left unchanged.
std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job);

/// As fit_gang(), but also on the machine that the gang avoids since it failed there, once a retry
/// is due; for a gang of a single task also on quarantined machines (find_retry_fit).
std::vector<Candidate*> fit_gang_for_retry(CandidateSet& candidates, const Job& job, double now);

}  // namespace cranklock::sched
