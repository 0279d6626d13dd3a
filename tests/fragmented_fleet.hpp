// Small fleets with fragmented free capacity, and the cost of the optimal plan by exhaustive
// search.
#pragma once

#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "defrag/planner.hpp"

namespace cranklock::testing {

/// Machines of eight GPUs that hold tasks of one to four, and a waiting job that needs large free
/// blocks.
class FragmentedFleet {
 public:
  struct Size {
    int hosts = 4;
    int max_hosted_tasks = 3;  ///< on each host
    int zones = 2;
    int min_hosted_tasks = 0;
  };
  FragmentedFleet(const Size& size, unsigned seed);
  FragmentedFleet(const FragmentedFleet&) = delete;
  FragmentedFleet& operator=(const FragmentedFleet&) = delete;

  std::vector<defrag::Host> hosts;
  defrag::Demand demand;

  /// How the plan violates the guarantees of `plan_moves`; empty if it does not.
  std::string find_violation(const defrag::Plan& plan) const;
  /// The lowest cost of any plan, including plans where a machine is both source and target; none
  /// if there is no plan.
  std::optional<double> best_cost() const;

 private:
  struct SearchState;
  void search_from(SearchState& state, std::size_t host, std::size_t hosted_task) const;
  bool demand_fits(const SearchState& state) const;
  double move_cost(const defrag::HostedTask& hosted_task, std::size_t to) const;
  bool may_move_to(std::size_t from, const defrag::HostedTask& hosted_task, std::size_t to) const;

  std::list<wire::JobSpec> specs_;
};

}  // namespace cranklock::testing
