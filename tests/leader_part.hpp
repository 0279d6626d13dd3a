// A leader's context over a key-value store with jobs, for tests of single parts of a leader term.
#pragma once

#include "cloud/client.hpp"
#include "control/leader_context.hpp"
#include "stored_jobs.hpp"

namespace cranklock::testing {

/// What a leader term gives its parts.
class LeaderPartTest : public StoredJobsTest {
 protected:
  cloud::Client cloud_{reactor_, transport_, settings_};
  net::Signal lost_{reactor_};
  net::Signal work_{reactor_};
  control::LeaderLease lease_{settings_, kFencingToken, reactor_.now()};
  control::LeadershipStatus leadership_{kFencingToken, lost_};
  sched::ClusterState cluster_{settings_, kFencingToken, reactor_.now()};
  control::LeaderContext context_{{reactor_, transport_, settings_, store_, cloud_},
                                  lease_,
                                  leadership_,
                                  cluster_,
                                  work_,
                                  reactor_.now()};
};

}  // namespace cranklock::testing
