// The leader's machines: what the cloud lists of them, who is supervised, and what is returned.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "control/leader_lease.hpp"
#include "control/services.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/availability.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Keeps the cluster state's machines in step with the cloud, ends leases that have run out, and
/// deletes machines that are failed, silent, taken back, or hold what was cancelled (invariants 4,
/// 7 and 8). Only a 200 to its deletion proves a machine gone, never the list.
class MachineLifecycle {
 public:
  /// Made when the term begins. All that is referred to outlives it.
  MachineLifecycle(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
                   net::Signal& work);

  /// Starts the duties: following the cloud's list and types, supervision and deletions.
  void start(net::Scope& scope);
  /// Marks the machine for deletion; nothing is placed on it from now on.
  void terminate(sched::Machine& machine, const char* why);
  /// Whether its deletion was answered lately: a lagging list or a late heartbeat may still show
  /// it.
  bool is_deleted(const std::string& machine) const { return deleted_.contains(machine); }

 private:
  net::Task<void> follow_list();
  net::Task<void> follow_types();
  net::Task<void> supervise();
  net::Task<void> delete_terminating();

  void take_in_list(const std::vector<wire::ListedMachine>& machines);
  /// Machines to be deleted next, no more than one request may name.
  bool may_delete(const sched::Machine& machine) const;
  std::vector<std::string> due_deletions() const;
  void record_deletion_result(const std::vector<std::string>& names,
                              cloud::DeletionResult deletion_result);
  void note_deleted(const std::vector<std::string>& names);
  void report_expired_leases(double at);
  void check_placements(double at);
  double cancel_due(const sched::Job& job) const;
  void check_machine(sched::Machine& machine,
                     const std::map<std::string, sched::ZoneWorkers>& zones, double at);
  double now() const { return services_.reactor.now(); }

  Services services_;
  const LeaderLease& leader_lease_;
  sched::ClusterState& cluster_;
  net::Signal& work_;
  net::Signal deletions_;
  double term_started_at_;
  /// The next deletion names so many machines at most, beginning after this one: requests that the
  /// cloud refuses become smaller and pass on, so that one name does not hold up all others.
  std::size_t max_deletions_ = cloud::kMaxDeletions;
  std::string deletions_after_;
  /// When they were deleted: names never come back, but a lagging list or a late heartbeat may show
  /// them for a while yet.
  std::map<std::string, double> deleted_;
};

}  // namespace cranklock::control
