// When the lease of an agent has certainly expired.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/settings.hpp"
#include "sched/machine.hpp"

namespace cranklock::sched {

/// Bounds the time of the last answer that an agent may have got, from this leader, from a
/// forwarder that may answer in its place, or from a former leader. When the lease has run out
/// since, the agent has ended its tasks and their placements are free (invariant 4 c).
class LeaseTracker {
 public:
  /// `leader_since` is when the leadership was known to be ours. The settings must outlive this.
  LeaseTracker(const base::Settings& settings, double leader_since)
      : settings_(settings), leader_since_(leader_since) {}

  /// Takes in a peer heartbeat of a forwarder. It proves that the forwarder answers no agent in
  /// place of this leader before `quiet_until`, and did so last at `delegate_responded_at` (below
  /// 0: never). `incarnation` tells the runs of its process apart.
  void record_forwarder(const std::string& name, std::uint64_t incarnation, double quiet_until,
                        double delegate_responded_at, double now);
  /// The forwarder has heard this leader, and this leader the forwarder, just now.
  bool is_forwarder_reachable(const std::string& name, double now) const;

  /// The latest time at which a heartbeat of the machine may have been answered 200 by anybody.
  double latest_possible_response(const Machine& machine, double now) const;
  /// How long after an answer, on this node's clock, an agent may still hold its lease.
  double lease_upper_bound() const;
  /// Whether the lease has expired for certain.
  bool has_expired(const Machine& machine, double now) const;

 private:
  struct Forwarder {
    std::uint64_t incarnation = 0;
    double quiet_until = 0;
    double delegate_responded_at = 0;
  };
  const base::Settings& settings_;
  double leader_since_;
  std::map<std::string, Forwarder> forwarders_;
};

}  // namespace cranklock::sched
