// Sends scale-out requests to the cloud.
#pragma once

#include <cstdint>
#include <map>

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Requests machines and adds the granted ones to the cluster state. Requests are named by fencing
/// token and sequence number, and a request without an answer is repeated under the same name, so
/// that no machine is rented twice (invariant 8).
class ScaleOutRequester {
 public:
  /// Created when the leader term begins. All referenced objects must outlive it.
  ScaleOutRequester(const LeaderContext& context, const MachineLifecycle& machines)
      : context_(context), machines_(machines) {}

  /// Requests the given number of machines of each kind, at most `cloud::kMaxMachinesPerRequest`
  /// per request. Does not wait for the answers.
  void request(const std::map<sched::MachineKind, int>& machines);

  /// Machine kinds that the cloud recently had too few of, and until when they are not requested,
  /// in steady seconds.
  const std::map<sched::MachineKind, double>& unavailable_until() const {
    return unavailable_until_;
  }
  bool is_unavailable(const sched::MachineKind& kind) const;
  /// Removes the kinds that may be requested again.
  void forget_expired(double now);

 private:
  net::Task<void> send_request(sched::MachineKind kind, int machines);
  /// Returns whether the request is complete; otherwise it is repeated under the same name.
  bool handle_result(const cloud::ScaleOutResult& result, const sched::MachineKind& kind,
                     int machines);
  void add_machines(const cloud::ScaleOutResult& result, const sched::MachineKind& kind);
  void mark_unavailable(const sched::MachineKind& kind);

  const LeaderContext& context_;
  const MachineLifecycle& machines_;
  std::map<sched::MachineKind, double> unavailable_until_;
  std::uint64_t last_sequence_ = 0;
  net::Scope scope_;  ///< last member: its coroutines end before the members they use
};

}  // namespace cranklock::control
