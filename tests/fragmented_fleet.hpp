// Small fleets whose free room is in pieces, and the best plan for them by trying all.
#pragma once

#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "defrag/planner.hpp"

namespace cranklock::testing {

/// Machines of eight GPUs that hold tasks of one to four, and a job that waits for large pieces.
class FragmentedFleet {
 public:
  struct Size {
    int hosts = 4;
    int max_residents = 3;  ///< on each
    int zones = 2;
    int min_residents = 0;
  };
  FragmentedFleet(const Size& size, unsigned seed);
  FragmentedFleet(const FragmentedFleet&) = delete;
  FragmentedFleet& operator=(const FragmentedFleet&) = delete;

  std::vector<defrag::Host> hosts;
  defrag::Demand demand;

  /// Why the plan breaks what `plan_moves` promises; empty: it keeps it.
  std::string fault_of(const defrag::Plan& plan) const;
  /// The least that any plan costs, machines that both give and take included; none: there is no
  /// plan.
  std::optional<double> best_cost() const;

 private:
  struct Trial;
  void try_from(Trial& trial, std::size_t host, std::size_t resident) const;
  bool demand_fits(const Trial& trial) const;
  double move_cost(const defrag::Resident& resident, std::size_t to) const;
  bool may_take(std::size_t from, const defrag::Resident& resident, std::size_t to) const;

  std::list<wire::JobSpec> specs_;
};

}  // namespace cranklock::testing
