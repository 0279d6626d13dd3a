// Resources that a move plan reserves on machines.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sched/job.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// Resources on one machine, reserved for one job.
struct Reservation {
  std::string machine;
  std::string job;
  /// The task to be moved to the machine; none: the resources are for any task of the job.
  std::optional<std::uint32_t> task;
  wire::Resources resources;
  /// The id of another job that may also use the resources; empty: none.
  std::string also_usable_by;
  bool operator==(const Reservation&) const = default;
};

/// Whether the reservation for this job still holds resources: the job is not cancelled, and the
/// task to be moved is neither done nor placed on the machine yet. Without such a task: no task of
/// the job is placed on the machine yet.
inline bool holds_capacity(const Reservation& reservation, const Job& job) {
  if (job.cancelled()) return false;
  if (reservation.task && job.done.contains(*reservation.task)) return false;
  return std::none_of(job.placements.begin(), job.placements.end(),
                      [&](const Placement& placement) {
                        return !placement.ended && placement.machine == reservation.machine &&
                               (!reservation.task || placement.task == *reservation.task);
                      });
}

/// All reservations of the leader. Empty unless a stored move plan is in progress (invariant 19).
class Reservations {
 public:
  Reservations() = default;
  explicit Reservations(std::vector<Reservation> held) : all_(std::move(held)) {
    for (const auto& reservation : all_) machines_.insert(reservation.machine);
  }

  bool empty() const { return all_.empty(); }
  const std::vector<Reservation>& all() const { return all_; }
  bool any_on(const std::string& machine) const { return machines_.contains(machine); }
  /// Whether resources are reserved for pending tasks of the job, as opposed to tasks being moved.
  bool any_for_pending_tasks(const std::string& job) const {
    return std::any_of(all_.begin(), all_.end(), [&](const Reservation& reservation) {
      return reservation.job == job && !reservation.task;
    });
  }

 private:
  std::vector<Reservation> all_;
  std::set<std::string> machines_;
};

}  // namespace cranklock::sched
