// A leader context over a key-value store with jobs, for tests of single components of a leader
// term.
#pragma once

#include "cloud/client.hpp"
#include "control/leader_context.hpp"
#include "stored_jobs.hpp"

namespace cranklock::testing {

/// The objects that a leader term passes to its components.
class LeaderPartTest : public StoredJobsTest {
 protected:
  cloud::Client cloud_{reactor_, transport_, settings_};
  net::Signal lost_{reactor_};
  net::Signal state_changed_{reactor_};
  control::LeaderLease lease_{settings_, kFencingToken, reactor_.now()};
  control::LeadershipStatus leadership_{kFencingToken, lost_};
  sched::ClusterState cluster_{settings_, kFencingToken, reactor_.now()};
  control::TermCounters counters_;
  control::LeaderContext context_{{reactor_, transport_, settings_, store_, cloud_},
                                  lease_,
                                  leadership_,
                                  cluster_,
                                  state_changed_,
                                  reactor_.now(),
                                  counters_};
};

}  // namespace cranklock::testing
