// A leader term whose parts are tested one by one.
#pragma once

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "services_fixture.hpp"

namespace cranklock::testing {

/// What a part of a leader term is made of. The term begins at kTermStart with its leader lease
/// certain and all changes of jobs known.
struct TermFixture : ServicesFixture {
  static constexpr double kTermStart = 100;

  control::LeaderLease lease{settings, kFencingToken, kTermStart};
  net::Signal lost{reactor};
  control::LeadershipStatus leadership{kFencingToken, lost};
  sched::ClusterState cluster{settings, kFencingToken, kTermStart};
  net::Signal work{reactor};
  control::LeaderContext context{services, lease, leadership, cluster, work, kTermStart};
  control::MachineLifecycle machines{context};

  TermFixture() {
    reactor.run_until(kTermStart);
    lease.caught_up(kTermStart);
    cluster.set_types({machine_type()});
  }
};

}  // namespace cranklock::testing
