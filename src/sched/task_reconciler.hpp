// Reconciles the tasks that a heartbeat reports with the placements.
#pragma once

#include <set>

#include "base/settings.hpp"
#include "sched/failure_tracker.hpp"
#include "sched/job_table.hpp"
#include "sched/machine_inventory.hpp"
#include "sched/placement_tracker.hpp"
#include "sched/start_policy.hpp"

namespace cranklock::sched {

/// Consecutive unacknowledged responses after which an agent counts as unresponsive; a single
/// response may be lost.
inline constexpr int kMaxUnacknowledgedResponses = 2;

/// Applies the task reports of an agent's messages: presence, states, exits and absences.
class TaskReconciler {
 public:
  /// All references must outlive this object.
  TaskReconciler(const base::Settings& settings, JobTable& jobs, MachineInventory& machines,
                 const StartPolicy& start_policy, PlacementTracker& placements,
                 FailureTracker& failures, ChangeSignal& changes)
      : settings_(settings),
        jobs_(jobs),
        machines_(machines),
        start_policy_(start_policy),
        placements_(placements),
        failures_(failures),
        changes_(changes) {}

  /// Applies the tasks that the message names. `token_acknowledged`: the message carries this
  /// leader's fencing token.
  void reconcile_reported(Machine& machine, const wire::Heartbeat& heartbeat,
                          bool token_acknowledged, double now);
  /// Ends the placements that the heartbeat proves gone by not naming them (invariant 4 a). To be
  /// called only for heartbeats that carry this leader's fencing token, and not for responses to
  /// direct commands.
  void reconcile_absent(Machine& machine, const wire::Heartbeat& heartbeat, double now);

 private:
  /// What a heartbeat that does not name a task says about its placement.
  enum class Absence {
    indeterminate,         ///< the attempt may be on the machine, or may still start there
    proven,                ///< the attempt is not on the machine and will not start there
    over_limit,            ///< as proven; it must not be started, since its team exceeds its limit
    start_unacknowledged,  ///< the response that carried the start may not have arrived
  };

  void reconcile_task(Machine& machine, Job& job, Placement& placement,
                      const wire::TaskStatus& status, bool token_acknowledged, double now);
  void reconcile_exit(Machine& machine, Job& job, Placement& placement,
                      const wire::TaskStatus& status, bool token_acknowledged, double now);
  void apply_exit(Machine& machine, Job& job, Placement& placement, const wire::TaskStatus& status,
                  double now);
  void apply_completion(Machine& machine, Job& job, Placement& placement, double now);
  void record_completion(Job& job, Machine& machine, const Placement& placement);
  void end_completed_gang(Job& job, std::uint64_t attempt, double now);
  /// Classifies the absence of the placement's task from a heartbeat with sequence `reported`.
  Absence classify_absence(const Job& job, const Placement& placement,
                           AgentSequence reported) const;
  /// Counts a heartbeat that does not name a task whose start was sent. Returns whether the agent
  /// now counts as unresponsive.
  bool record_unacknowledged_start(Machine& machine, Placement& placement, double now) const;

  const base::Settings& settings_;
  JobTable& jobs_;
  MachineInventory& machines_;
  const StartPolicy& start_policy_;
  PlacementTracker& placements_;
  FailureTracker& failures_;
  ChangeSignal& changes_;
};

}  // namespace cranklock::sched
