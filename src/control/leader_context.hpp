// What the parts of one leader term share.
#pragma once

#include "control/leader_lease.hpp"
#include "control/leadership_status.hpp"
#include "control/services.hpp"
#include "net/reactor.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Made by the leader term before its parts, and outlives them. Parts keep a reference to it.
struct LeaderContext {
  Services services;
  LeaderLease& lease;
  LeadershipStatus& leadership;
  sched::ClusterState& cluster;
  /// Wakes the decision loop: jobs, agents or machines have changed.
  net::Signal& work;
  /// When the term began, in steady seconds.
  double term_started_at;

  /// Steady seconds.
  double now() const { return services.reactor.now(); }
};

}  // namespace cranklock::control
