// In which order the records of changed jobs are written.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// How soon a record should be written.
enum class WriteClass {
  overdue,  ///< it has waited for as long as it may
  starts,   ///< tasks of the job, or of its dependents, can start only afterwards
  other,
};

/// What decides on the order of writes besides the jobs themselves.
struct WriteOrderContext {
  double now = 0;       ///< on the steady clock
  double cancel_s = 0;  ///< the setting
  /// Whether the record of this job is to be read anew first, and so must not be written.
  std::function<bool(const std::string& job_id)> is_reloading;
};

/// The jobs whose records differ from what is stored, most urgent first. Overdue records and starts
/// take turns, so that neither waits for all of the other; the rest follows. Marks jobs that are
/// over as changed, and notes on each job since when it waits.
///
/// Guards against outcomes that wait behind starts for ever: a job may be called done late, but
/// only by a few seconds.
std::vector<sched::Job*> order_writes(sched::ClusterState& cluster,
                                      const WriteOrderContext& context);

}  // namespace cranklock::control
