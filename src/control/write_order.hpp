// Order in which the records of changed jobs are written.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Urgency of a record's write.
enum class WriteClass {
  overdue,  ///< exceeded its maximum wait
  starts,   ///< tasks of the job or of its dependents cannot start before this write
  other,
};

/// Inputs to the write order besides the jobs.
struct WriteOrderContext {
  double now = 0;       ///< steady clock, in seconds
  double cancel_s = 0;  ///< the setting of this name, in seconds
  /// Whether the record of this job must be reloaded first, and so must not be written.
  std::function<bool(const std::string& job_id)> is_reloading;
};

/// Returns the jobs whose records differ from the stored ones, most urgent first. Overdue records
/// and starts alternate, so that neither class delays all of the other; all other records follow.
/// Marks cancelled jobs without live placements as dirty, and sets `dirty_since` where it is unset.
///
/// Without the overdue class, a steady stream of starts would delay outcomes indefinitely. But a
/// job must be reported as done at most a few seconds after its last task has ended.
std::vector<sched::Job*> order_writes(sched::ClusterState& cluster,
                                      const WriteOrderContext& context);

}  // namespace cranklock::control
