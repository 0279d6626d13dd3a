// The machines on which a placement pass may place tasks, and the resources available to each job.
#pragma once

#include <cstddef>
#include <optional>
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
  /// The job for which resources are kept on the machine for the rest of the pass, if set; see
  /// nomination.hpp.
  const Job* nominated_for = nullptr;
  const wire::MachineType* type = nullptr;
  bool has_reservations = false;   ///< a move plan has reserved resources on it
  double nominee_starts_in_s = 0;  ///< expected seconds until its nominee starts
  wire::Resources spare = {};      ///< what will be free when its nominee has started
  /// Held by replicas that are not being stopped; none: not known yet (CandidateSet).
  std::optional<wire::Resources> held_by_replicas = std::nullopt;
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
  /// Whether tasks on any machine were being stopped when the pass began.
  bool any_releasing() const { return any_releasing_; }
  /// The schedulable machine with this id, or null.
  Candidate* find(const std::string& machine);

  /// The resources available to the job on the candidate: free resources less those reserved for
  /// others. Sets blocked_by_reservation() if a task of the job fits only without the reservations.
  wire::Resources available_to(const Job& job, const Candidate& candidate) {
    return candidate.has_reservations ? unreserved_for(job, candidate) : candidate.free;
  }

  /// The resources on a schedulable machine that its replicas hold, apart from those that are being
  /// stopped. They do not become free by themselves.
  const wire::Resources& held_by_replicas(Candidate& candidate) const;

  /// Resets blocked_by_reservation() and blocked_by_nomination() before a new search.
  void begin_search() { blocked_by_reservation_ = blocked_by_nomination_ = false; }
  /// Records that a machine was left out because of a nomination.
  void note_blocked_by_nomination() { blocked_by_nomination_ = true; }
  /// Whether, since the last reset, a machine was left out because of a nomination. Shorter tasks
  /// may still use it.
  bool blocked_by_nomination() const { return blocked_by_nomination_; }
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
  bool any_releasing_ = false;
  bool blocked_by_reservation_ = false;
  bool blocked_by_nomination_ = false;
  std::size_t examined_ = 0;
};

/// The zones to try for a gang: if all its tasks must be in one zone, each zone in order of its
/// first machine; otherwise only "", which stands for all zones combined.
std::vector<std::string> gang_zones(const CandidateSet& candidates, const wire::JobSpec& spec);

}  // namespace cranklock::sched
