// Selects machines for all tasks of a gang at once.
#pragma once

#include <vector>

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// Machines on which all tasks of the gang fit at the same time, one entry per task in order; empty
/// if they do not all fit. The free resources of the candidates are left unchanged.
std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job);

}  // namespace cranklock::sched
