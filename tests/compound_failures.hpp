// Jobs, settings and leader changes for the tests of two failures at the same time.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "test_cluster.hpp"

namespace cranklock::testing {

inline wire::JobSpec job_spec(const std::string& id, std::uint32_t tasks = 2,
                              wire::JobKind kind = wire::JobKind::service, double gpus = 4,
                              const std::string& team = "red") {
  return make_job(id, kind, tasks, gpus, team).spec;
}

/// Small settings with the intervals of a deployment: the time bounds under test depend on the
/// ratios of heartbeat interval, lease and cancellation time.
inline base::Settings settings_with_intervals(double heartbeat_interval_s, double lease_s,
                                              double cancel_s) {
  auto settings = small_settings();
  settings.heartbeat_interval_s = heartbeat_interval_s;
  settings.lease_s = lease_s;
  settings.cancel_s = cancel_s;
  settings.state_rps = 250;
  return settings;
}
inline base::Settings long_heartbeat_interval() {
  return settings_with_intervals(3, 29, 49);
}
inline base::Settings long_cancellation() {
  return settings_with_intervals(1, 10, 40);
}

inline std::vector<std::string> machines_with_tasks(const TestCluster& cluster,
                                                    const std::string& job) {
  std::vector<std::string> machines;
  for (const auto& [id, worker] : cluster.workers) {
    for (const auto& [task, held] : worker->tasks) {
      if (task.starts_with(job + "/") && held.state != wire::TaskState::exited)
        machines.push_back(id);
    }
  }
  return machines;
}

/// Crashes the leader and restarts it after `back_s` seconds.
inline void change_leader(TestCluster& cluster, double back_s = 8) {
  const int old = cluster.leader();
  ASSERT_GE(old, 0);
  cluster.crash_node(old);
  cluster.run(back_s);
  cluster.start_node(old);
  cluster.run(0.2);
}

inline int another_node(const TestCluster& cluster, int node) {
  return (node + 1) % cluster.nodes();
}

}  // namespace cranklock::testing
