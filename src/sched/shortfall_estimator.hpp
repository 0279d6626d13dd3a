// Estimates the shortfall of machines at the end of a placement pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/candidates.hpp"
#include "sched/shortfall.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {

/// Packs unplaced tasks onto starting machines, and the rest onto as few new machines of the
/// cheapest kinds as possible. The resources of packed tasks are subtracted from the candidates of
/// the pass.
///
/// Holds no more new machines of a kind than its pool can add in one step, and no more altogether
/// than a share of the memory limit. Beyond that, only the requested resources of a task count. So
/// neither the size nor the number of waiting jobs determines how much memory an estimate takes
/// (invariant 23).
class ShortfallEstimator {
 public:
  /// `refused_until` holds, for machine kinds that the cloud recently had no capacity for, the time
  /// until which none are requested.
  ShortfallEstimator(CandidateSet& candidates, const std::map<MachineKind, double>& refused_until,
                     double now);

  /// Adds the demand of the job's pending tasks, up to its team's quota limit. A job that fails
  /// wherever it runs adds none until it has found no place for `cancel_s`.
  void add_pending(const Job& job);
  /// Adds replacements for the tasks in unreachable zones before those are known to be gone, since
  /// machines take time to boot.
  void add_unreachable();

  const Shortfall& shortfall() const { return shortfall_; }
  Shortfall take() { return std::move(shortfall_); }

 private:
  /// Why a task needs a machine.
  enum class DemandKind {
    pending,     ///< it could not be placed in this pass
    replacement  ///< its machine may be lost; the task already counts as quota usage
  };
  /// The search for one job's tasks. A candidate on which one task does not fit cannot hold the
  /// next one either, so each list of candidates is traversed only once.
  struct Search {
    const Job& job;
    ZoneCount zones;
    std::size_t schedulable = 0, starting = 0, added = 0;  ///< positions in the lists
  };

  void add(Search search, std::uint32_t missing, DemandKind demand);
  std::uint32_t max_requested_tasks(const Job& job) const;
  std::uint32_t count_within_limit(const Job& job, std::uint32_t max_tasks);
  std::uint32_t allocate(Search& search, Candidate& candidate, std::uint32_t max_tasks);
  std::uint32_t request_resources(Search& search, const MachineKind& kind, std::uint32_t max_tasks);
  Candidate* find_candidate(Search& search, DemandKind demand);
  Candidate* next_fitting(std::vector<Candidate>& list, std::size_t& position,
                          const Search& search);
  bool may_add_machine(const MachineKind& kind);
  int max_step(const PoolId& pool);
  Candidate& add_machine(const MachineKind& kind);
  bool may_scale_out(const Search& search, const MachineKind& kind) const;
  double weighted_price(const Search& search, const MachineKind& kind,
                        const wire::MachineType& type) const;
  std::optional<MachineKind> cheapest_kind(const Search& search) const;

  CandidateSet& candidates_;
  const std::map<MachineKind, double>& refused_until_;
  double now_;
  std::size_t max_new_machines_;
  std::vector<Candidate> new_machines_;
  std::map<PoolId, int> machines_by_pool_;  ///< schedulable and starting; filled when first needed
  std::map<std::string, wire::Resources> planned_by_team_;  ///< of pending tasks already counted
  Shortfall shortfall_;
};

}  // namespace cranklock::sched
