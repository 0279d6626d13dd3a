// Carries out scale-out requests at the cloud.
#pragma once

#include <cstdint>
#include <map>

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Requests machines and adds those that it got to the cluster state. Requests are named by fencing
/// token and sequence, and one without an answer is repeated under its name, so that no machine is
/// rented twice (invariant 8).
class ScaleOutRequester {
 public:
  /// Made when the leader term begins. All that is referred to outlives it.
  ScaleOutRequester(const LeaderContext& context, const MachineLifecycle& machines)
      : context_(context), machines_(machines) {}

  /// Requests this many machines of each kind, in requests of `cloud::kMaxMachinesPerRequest` at
  /// most. Does not wait for the answers.
  void request(const std::map<sched::MachineKind, int>& machines);

  /// Kinds that the cloud lately had too few of, and until when they are not requested, in steady
  /// seconds.
  const std::map<sched::MachineKind, double>& unavailable_until() const {
    return unavailable_until_;
  }
  bool is_unavailable(const sched::MachineKind& kind) const;
  /// Forgets the kinds that may be requested again.
  void forget_expired(double now);

 private:
  net::Task<void> send_request(sched::MachineKind kind, int machines);
  /// Whether the request is over; otherwise it is repeated under its name.
  bool handle_result(const cloud::ScaleOutResult& result, const sched::MachineKind& kind,
                     int machines);
  void add_machines(const cloud::ScaleOutResult& result, const sched::MachineKind& kind);
  void mark_unavailable(const sched::MachineKind& kind);

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  std::map<sched::MachineKind, double> unavailable_until_;
  std::uint64_t last_sequence_ = 0;
  net::Scope scope_;  ///< last, so that its coroutines end before what they use
};

}  // namespace cranklock::control
