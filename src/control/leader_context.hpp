// State shared by the components of one leader term.
#pragma once

#include "control/leader_lease.hpp"
#include "control/leadership_status.hpp"
#include "control/services.hpp"
#include "control/term_counters.hpp"
#include "net/reactor.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Created by the leader term before its components, which keep a reference to it, and destroyed
/// after them.
struct LeaderContext {
  Services services;
  LeaderLease& lease;
  LeadershipStatus& leadership;
  sched::ClusterState& cluster;
  /// Set when jobs, agents or machines have changed; wakes the decision loop.
  net::Signal& state_changed;
  /// Steady time in seconds at which the term began.
  double term_started_at;
  TermCounters& counters;

  /// Steady time in seconds.
  double now() const { return services.reactor.now(); }
};

}  // namespace cranklock::control
