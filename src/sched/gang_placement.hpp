// Machines for all tasks of a gang at once.
#pragma once

#include <vector>

#include "sched/candidates.hpp"

namespace cranklock::sched {

/// The machines on which all tasks of the gang fit together, one entry for each task in order;
/// empty if there is no room for all of them. Takes nothing: the candidates stay as they were.
std::vector<Candidate*> fit_gang(CandidateSet& candidates, const Job& job);

}  // namespace cranklock::sched
