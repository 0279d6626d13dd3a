// The context of a leader term, for tests of single components.
#pragma once

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "services_fixture.hpp"

namespace cranklock::testing {

/// The objects that components of a leader term depend on. The term begins at kTermStart with a
/// valid leader lease and all changes of jobs known.
struct TermFixture : ServicesFixture {
  static constexpr double kTermStart = 100;

  control::LeaderLease lease{settings, kFencingToken, kTermStart};
  net::Signal lost{reactor};
  control::LeadershipStatus leadership{kFencingToken, lost};
  sched::ClusterState cluster{settings, kFencingToken, kTermStart};
  net::Signal state_changed{reactor};
  control::TermCounters counters;
  control::LeaderContext context{services,      lease,      leadership, cluster,
                                 state_changed, kTermStart, counters};
  control::MachineLifecycle machines{context};

  TermFixture() {
    reactor.run_until(kTermStart);
    lease.mark_caught_up(kTermStart);
    cluster.set_types({machine_type()});
  }
};

}  // namespace cranklock::testing
