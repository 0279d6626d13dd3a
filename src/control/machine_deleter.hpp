// Deletes terminating machines through the cloud API.
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

/// Marks machines as terminating, requests their deletion, and removes them from the cluster state
/// when the cloud answers 200. Only that answer proves that a machine is gone; its absence from the
/// list does not (invariants 4 and 8).
class MachineDeleter {
 public:
  /// Created when the leader term begins. The context must outlive it.
  explicit MachineDeleter(const LeaderContext& context);

  /// Marks the machine for deletion; nothing is placed on it from now on. No effect if it is
  /// already terminating.
  void terminate(sched::Machine& machine, TerminationReason reason);
  /// Whether the machine was deleted recently: a delayed list or heartbeat may still show it.
  bool is_deleted(const std::string& machine) const { return deleted_at_.contains(machine); }
  /// Deletes terminating machines until cancelled.
  net::Task<void> run();

 private:
  bool may_delete(const sched::Machine& machine) const;
  /// Returns the machines to delete next, at most as many as one request may name.
  std::vector<std::string> next_batch() const;
  void handle_result(const std::vector<std::string>& batch, cloud::DeletionResult result);
  void record_deleted(const std::vector<std::string>& batch);

  const LeaderContext& context_;
  net::Signal wake_;
  /// Maximum number of machines in the next request. Halved when the cloud rejects a request,
  /// doubled when one succeeds.
  std::size_t max_batch_ = cloud::kMaxDeletions;
  /// The next batch starts after this machine, so that a machine that the cloud refuses to delete
  /// does not block all others.
  std::string last_in_batch_;
  /// Steady time in seconds of each deletion, by machine. Machine names are never reused, but a
  /// delayed list or heartbeat may show them for some time.
  std::map<std::string, double> deleted_at_;
};

}  // namespace cranklock::control
