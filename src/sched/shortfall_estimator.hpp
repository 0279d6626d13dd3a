// Adds up, at the end of a placement pass, the machines that are missing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sched/candidates.hpp"
#include "sched/shortfall.hpp"
#include "sched/zone_count.hpp"

namespace cranklock::sched {

/// Packs the tasks that found no machine onto machines that start, and then onto as few new ones of
/// the cheapest kinds as will do. What it packs counts as used on the candidates of the pass.
class ShortfallEstimator {
 public:
  /// `refused_until` holds the kinds that the cloud lately had none of.
  ShortfallEstimator(CandidateSet& candidates, const std::map<MachineKind, double>& refused_until,
                     double now)
      : candidates_(candidates), refused_until_(refused_until), now_(now) {}

  /// Adds what the job's pending tasks lack, as far as its team's limit allows. A job whose tasks
  /// lately failed lacks no machines.
  void add_pending(const Job& job);
  /// Adds what will be missing once the tasks in unreachable zones are known to be gone: machines
  /// take their time to boot.
  void add_unreachable();

  const Shortfall& shortfall() const { return shortfall_; }
  Shortfall take() { return std::move(shortfall_); }

 private:
  /// Why a task needs a machine.
  enum class Need {
    pending,     ///< it waits, and no machine of this pass took it
    replacement  ///< its machine may be lost; it is counted in its team's use already
  };
  /// The search for one job's tasks. What did not fit one of them does not fit the next, so each
  /// list of candidates is gone through once.
  struct Search {
    const Job& job;
    ZoneCount zones;
    std::size_t schedulable = 0, starting = 0, added = 0;  ///< positions in the lists
  };

  void add(Search search, std::uint32_t missing, Need need);
  bool within_limit(const Job& job);
  Candidate* find_candidate(Search& search, Need need);
  Candidate* advance(std::vector<Candidate>& list, std::size_t& position, const Search& search);
  Candidate* add_machine(const Search& search);
  bool may_scale_out(const Search& search, const MachineKind& kind) const;
  double price_of(const Search& search, const MachineKind& kind,
                  const wire::MachineType& type) const;
  std::optional<MachineKind> cheapest_kind(const Search& search) const;

  CandidateSet& candidates_;
  const std::map<MachineKind, double>& refused_until_;
  double now_;
  std::vector<Candidate> added_;                    ///< new machines
  std::map<std::string, wire::Resources> by_team_;  ///< of pending tasks already counted
  Shortfall shortfall_;
};

}  // namespace cranklock::sched
