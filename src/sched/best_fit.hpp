// Bin packing: selects the machine where a task starts soonest and leaves the least unused
// capacity.
#pragma once

#include <cstdint>
#include <string>

#include "sched/candidates.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {

/// The penalty for placing a replica in a zone without a controller, as a fraction of the boot time
/// (placement) or of the price (scale-out).
inline constexpr double kNoLocalControllerWeight = 0.5;

/// The largest fraction of `whole` that `part` takes of any single resource.
double dominant_share(const wire::Resources& part, const wire::Resources& whole);

/// How many tasks of this size fit into the resources together, at most wire::kMaxTasks.
std::uint32_t fitting_tasks(const wire::Resources& task, const wire::Resources& available);

/// Whether the task would be a service replica in a zone without a controller. While such a zone is
/// partitioned from the others, no controller keeps its replicas running.
bool lacks_local_controller(const ClusterState& cluster, const Job& job, const std::string& zone);

/// The cost, in seconds, of placing a task of the job on the candidate: the time to fetch its
/// image, plus penalties in proportion to the boot time. Penalties apply to unused capacity, to an
/// ordinary machine for a job that may use spot machines, to a zone without a controller for a
/// service replica, and, if the job spreads its tasks, to each of its tasks already in the zone.
double placement_cost_s(const ClusterState& cluster, const Job& job, const Candidate& candidate,
                        const ZoneCount& zones);

/// How a search treats the machine that the job avoids (Job::avoids).
enum class AvoidedMachine { excluded, included };

/// The schedulable machine with the lowest cost for one task of the job, the first one on a tie;
/// null if the task fits on none. A non-empty `only_zone` restricts the search to that zone.
Candidate* find_best_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                         const std::string& only_zone = {},
                         AvoidedMachine avoided = AvoidedMachine::excluded);

/// As find_best_fit(), among the machines that it leaves out because tasks failed there:
/// quarantined ones and the one that the job avoids. Null unless a retry is due on one of them, and
/// while another machine that is starting may soon take the task.
Candidate* find_retry_fit(CandidateSet& candidates, const Job& job, const ZoneCount& zones,
                          double now);

}  // namespace cranklock::sched
