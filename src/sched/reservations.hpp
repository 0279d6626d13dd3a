// Room that a plan of moves holds on machines. Pure data; ClusterState tells whether it is in
// force.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/types.hpp"

namespace cranklock::sched {

/// Room on one machine, held for one job.
struct Reservation {
  std::string machine;
  std::string job;
  /// The task that is rescheduled to the machine; none: the room is for any task of the job.
  std::optional<std::uint32_t> task;
  wire::Resources resources;
  /// A job that may take the room all the same; empty: none.
  std::string yields_to;
  bool operator==(const Reservation&) const = default;
};

/// All reservations of the leader. Empty unless a stored plan of moves is under way (invariant 19).
class Reservations {
 public:
  Reservations() = default;
  explicit Reservations(std::vector<Reservation> held) : all_(std::move(held)) {
    for (const auto& reservation : all_) machines_.insert(reservation.machine);
  }

  bool empty() const { return all_.empty(); }
  const std::vector<Reservation>& all() const { return all_; }
  bool any_on(const std::string& machine) const { return machines_.contains(machine); }
  /// Whether room is held for tasks of the job that wait, as opposed to rescheduled ones.
  bool any_for_waiting(const std::string& job) const {
    return std::any_of(all_.begin(), all_.end(), [&](const Reservation& reservation) {
      return reservation.job == job && !reservation.task;
    });
  }

 private:
  std::vector<Reservation> all_;
  std::set<std::string> machines_;
};

}  // namespace cranklock::sched
