// The machines on which a placement pass may place tasks, and the resources available to each job.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// A machine on which a task could be placed: a schedulable one, one that is starting, or one that
/// a scale-out would add.
struct Candidate {
  MachineKind kind;
  wire::Resources free;        ///< decreases during the pass as tasks are placed
  Machine* machine = nullptr;  ///< null unless the machine is schedulable
  wire::Resources releasing;   ///< held by tasks that are being stopped
  /// The only job that may use the machine for the rest of the pass, if set; see nomination.hpp.
  const Job* nominated_for = nullptr;
  const wire::MachineType* type = nullptr;
  bool has_reservations = false;  ///< a move plan has reserved resources on it
};

/// The schedulable and the starting machines of one pass, and the active reservations. The order of
/// the lists and the addresses of their elements do not change during the pass.
class CandidateSet {
 public:
  explicit CandidateSet(ClusterState& cluster);

  ClusterState& cluster() { return cluster_; }
  const ClusterState& cluster() const { return cluster_; }
  /// Schedulable machines, ordered by id.
  std::vector<Candidate>& schedulable() { return schedulable_; }
  const std::vector<Candidate>& schedulable() const { return schedulable_; }
  /// Quarantined machines for which is_retriable() holds, ordered by id.
  std::vector<Candidate>& retriable() { return retriable_; }
  /// Machines for which is_starting() holds, ordered by id.
  std::vector<Candidate>& starting() { return starting_; }
  /// The schedulable machine with this id, or null.
  Candidate* find(const std::string& machine);

  /// The resources available to the job on the candidate: free resources less those reserved for
  /// others. Sets blocked_by_reservation() if a task of the job fits only without the reservations.
  wire::Resources available_to(const Job& job, const Candidate& candidate) {
    return candidate.has_reservations ? unreserved_for(job, candidate) : candidate.free;
  }

  /// Resets blocked_by_reservation() before a new search.
  void clear_blocked_by_reservation() { blocked_by_reservation_ = false; }
  /// Whether, since the last reset, a machine had too few resources only because of reservations.
  /// The same resources may still be available to other jobs.
  bool blocked_by_reservation() const { return blocked_by_reservation_; }

  /// The active reservations; owned by ClusterState.
  const std::vector<const Reservation*>& reservations() const { return reservations_; }
  /// Removes a reservation whose task has been placed.
  void fulfil(const Reservation* reservation) { std::erase(reservations_, reservation); }

  /// Adds one search through all schedulable machines to examined().
  void record_search() { examined_ += schedulable_.size(); }
  /// Machines examined so far; a machine counts once per search.
  std::size_t examined() const { return examined_; }

 private:
  wire::Resources unreserved_for(const Job& job, const Candidate& candidate);
  wire::Resources reserved_for_others(const Job& job, const Candidate& candidate);

  ClusterState& cluster_;
  std::vector<Candidate> schedulable_, retriable_, starting_;
  std::vector<const Reservation*> reservations_;
  bool blocked_by_reservation_ = false;
  std::size_t examined_ = 0;
};

/// The zones to try for a gang: if all its tasks must be in one zone, each zone in order of its
/// first machine; otherwise only "", which stands for all zones combined.
std::vector<std::string> gang_zones(const CandidateSet& candidates, const wire::JobSpec& spec);

}  // namespace cranklock::sched
