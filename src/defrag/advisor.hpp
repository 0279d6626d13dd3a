// Advises operators of moves that would free capacity for a waiting job. Moves nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "defrag/plan_search.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// A plan for one waiting job, with task and machine names.
struct Advice {
  struct NamedMove {
    wire::TaskName task;
    std::string from, to;
  };
  std::string job;
  std::vector<NamedMove> moves;
  double cost_s = 0;
};

/// Searches at intervals for moves that would free capacity for the first waiting job that lacks
/// only capacity (`find_plan`). Advice is only logged and changes nothing.
class Advisor {
 public:
  /// `interval_s` is the time between two searches. `cluster` must outlive the advisor.
  Advisor(sched::ClusterState& cluster, double interval_s)
      : cluster_(cluster), interval_s_(interval_s) {}

  /// Returns advice if a search is due and finds a plan.
  std::optional<Advice> find_advice(double now);

 private:
  sched::ClusterState& cluster_;
  double interval_s_;
  double next_search_at_ = 0;
};

/// Formats the log line of an advice.
std::string to_log_line(const Advice& advice);

}  // namespace cranklock::defrag
