// Deletes terminating machines at the cloud.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_termination.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Marks machines as terminating, asks the cloud to delete them, and removes those whose deletion
/// was answered 200 from the cluster state. That answer alone proves a machine gone, never its
/// absence from the list (invariants 4 and 8).
class MachineDeleter {
 public:
  /// Made when the leader term begins. The context outlives it.
  explicit MachineDeleter(const LeaderContext& context);

  /// Marks the machine for deletion; nothing is placed on it from now on. No effect if it is
  /// terminating already.
  void terminate(sched::Machine& machine, TerminationReason reason);
  /// Whether its deletion was answered lately: a lagging list or a late heartbeat may still show
  /// it.
  bool is_deleted(const std::string& machine) const { return deleted_at_.contains(machine); }
  /// Deletes terminating machines, for ever.
  net::Task<void> run();

 private:
  bool may_delete(const sched::Machine& machine) const;
  /// Machines to be deleted next, no more than one request may name.
  std::vector<std::string> next_batch() const;
  void handle_result(const std::vector<std::string>& batch, cloud::DeletionResult result);
  void record_deleted(const std::vector<std::string>& batch);

  const LeaderContext& context_;
  net::Signal wake_;
  /// Machines that the next request names at most. Halved when the cloud refuses a request, doubled
  /// when it carries one out.
  std::size_t max_batch_ = cloud::kMaxDeletions;
  /// The next batch begins with the machine that follows this one, so that a machine that the cloud
  /// refuses to delete does not hold up all others.
  std::string last_in_batch_;
  /// Steady time of each deletion. Names of machines are never reused, but a lagging list or a late
  /// heartbeat may show them for a while yet.
  std::map<std::string, double> deleted_at_;
};

}  // namespace cranklock::control
