// Bin packing: the machine on which a task starts soonest and leaves least room unused.
#pragma once

#include <string>

#include "sched/candidates.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {

/// What a replica's placement in an exposed zone weighs, as a share of a boot or of a price.
inline constexpr double kExposureWeight = 0.5;

/// The largest share of the whole that an amount takes of any resource.
double dominant_share(const wire::Resources& part, const wire::Resources& whole);

/// Whether the task would be a replica in a zone without a controller, where nobody keeps it
/// running while the zone is cut off.
bool is_exposed(const ClusterState& cluster, const Job& job, const std::string& zone);

/// What it costs, in seconds, to put a task of the job there: the fetch of its image, and the
/// equivalents in boot time of unused room and of zones and kinds that suit it less.
double placement_cost(const ClusterState& cluster, const Job& job, const Candidate& candidate,
                      const ZoneCount& zones);

/// The schedulable machine that costs least for one task of the job, the first of equals; null if
/// it fits nowhere. `only_zone` restricts the search unless it is empty.
Candidate* find_best_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                         const std::string& only_zone = {});

}  // namespace cranklock::sched
