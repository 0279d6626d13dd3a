// Tells operators which moves would make room for work that waits. Moves nothing.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "defrag/plan_search.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::defrag {

/// A plan for one waiting job, in names.
struct Advice {
  struct NamedMove {
    wire::TaskName task;
    std::string from, to;
  };
  std::string job;
  std::vector<NamedMove> moves;
  double cost_s = 0;
};

/// Looks from time to time whether moves would make room for the most entitled job that waits for
/// room alone (`find_plan`). An advice is a line in the log and changes nothing.
class Advisor {
 public:
  /// `every_s` is the time between two looks; all that is referred to outlives the advisor.
  Advisor(sched::ClusterState& cluster, double every_s) : cluster_(cluster), every_s_(every_s) {}

  /// An advice, when a look is due and there is one.
  std::optional<Advice> look(double now);

 private:
  sched::ClusterState& cluster_;
  double every_s_;
  double next_look_ = 0;
};

/// How an advice reads in the log.
std::string to_string(const Advice& advice);

}  // namespace cranklock::defrag
