// Determines when the lease of an agent has certainly expired.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/settings.hpp"
#include "sched/machine.hpp"

namespace cranklock::sched {

/// Computes an upper bound for the time of the last response that an agent may have received: from
/// this leader, from a forwarder to which responses are delegated, or from a former leader. Once
/// a lease from that time has expired, the agent has ended its tasks, so their placements can be
/// ended (invariant 4 c).
class LeaseTracker {
 public:
  /// `leader_since`: when this node began its term as leader. `settings` must outlive this
  /// object.
  LeaseTracker(const base::Settings& settings, double leader_since)
      : settings_(settings), leader_since_(leader_since) {}

  /// Records a peer heartbeat of a forwarder. It proves that the forwarder sends no response in
  /// place of this leader before `no_response_until`, and last did so at `delegate_responded_at`
  /// (below 0: never). `incarnation` identifies the run of its process.
  void record_forwarder(const std::string& name, std::uint64_t incarnation,
                        double no_response_until, double delegate_responded_at, double now);
  /// Whether recent peer heartbeats have passed in both directions between this leader and the
  /// forwarder.
  bool is_forwarder_reachable(const std::string& name, double now) const;

  /// The latest time at which any node may have responded to a heartbeat of the machine with 200.
  double latest_possible_response(const Machine& machine, double now) const;
  /// The longest time after a response, on this node's clock, for which an agent may hold its
  /// lease.
  double lease_upper_bound_s() const;
  /// Whether the lease has certainly expired.
  bool has_expired(const Machine& machine, double now) const;

 private:
  struct Forwarder {
    std::uint64_t incarnation = 0;
    double no_response_until = 0;
    double delegate_responded_at = 0;
  };
  const base::Settings& settings_;
  double leader_since_;
  std::map<std::string, Forwarder> forwarders_;
};

}  // namespace cranklock::sched
