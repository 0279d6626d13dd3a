// The machines that a placement pass may put tasks on, and what is available there to a job.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"

namespace cranklock::sched {

/// A machine that a task could go to: one that takes work, or one that starts or would be rented.
struct Candidate {
  MachineKind kind;
  wire::Resources free;        ///< changes during the pass, as tasks are placed
  Machine* machine = nullptr;  ///< null unless it takes work now
  wire::Resources releasing;   ///< held by tasks that are being stopped
  /// The job that alone may use the machine for the rest of the pass; see nomination.hpp.
  const Job* nominated_for = nullptr;
  const wire::MachineType* type = nullptr;
  bool has_reservations = false;  ///< a plan of moves holds resources there
};

/// All candidates of one pass, and the reservations in force. Lists keep their order and their
/// elements' addresses for as long as the pass lasts.
class CandidateSet {
 public:
  explicit CandidateSet(ClusterState& cluster);

  ClusterState& cluster() { return cluster_; }
  const ClusterState& cluster() const { return cluster_; }
  /// Machines that take work, by id.
  std::vector<Candidate>& schedulable() { return schedulable_; }
  const std::vector<Candidate>& schedulable() const { return schedulable_; }
  /// Machines that boot, or have only to show our fencing token, by id.
  std::vector<Candidate>& starting() { return starting_; }
  /// The machine, if it takes work; otherwise null.
  Candidate* find(const std::string& machine);

  /// What the job may use there: what is free, less what is reserved for others. Records in
  /// blocked_by_reservation() when the job's task would fit but for those reservations.
  wire::Resources available_to(const Job& job, const Candidate& candidate) {
    return candidate.has_reservations ? unreserved_for(job, candidate) : candidate.free;
  }

  /// Forgets, before a new search, whether an earlier one met a reservation.
  void clear_blocked_by_reservation() { blocked_by_reservation_ = false; }
  /// Whether, since then, a machine lacked resources only because they are reserved: others may
  /// find room there all the same.
  bool blocked_by_reservation() const { return blocked_by_reservation_; }

  /// The reservations in force; ClusterState owns them.
  const std::vector<const Reservation*>& reservations() const { return reservations_; }
  /// The reserved task has been placed.
  void fulfil(const Reservation* reservation) { std::erase(reservations_, reservation); }

  /// Counts a search through all schedulable machines against the pass's budget.
  void record_search() { examined_ += schedulable_.size(); }
  /// Machines examined so far, counted anew by each search.
  std::size_t examined() const { return examined_; }

 private:
  wire::Resources unreserved_for(const Job& job, const Candidate& candidate);
  wire::Resources reserved_against(const Job& job, const Candidate& candidate);

  ClusterState& cluster_;
  std::vector<Candidate> schedulable_, starting_;
  std::vector<const Reservation*> reservations_;
  bool blocked_by_reservation_ = false;
  std::size_t examined_ = 0;
};

/// The zones to try for a gang, in the order of the machines: each alone if all its tasks have to
/// be in one zone, otherwise only "", which stands for all together.
std::vector<std::string> gang_zones(const CandidateSet& candidates, const wire::JobSpec& spec);

}  // namespace cranklock::sched
