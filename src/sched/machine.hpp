// The leader's state of a machine.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/agent_sequence.hpp"
#include "sched/job.hpp"
#include "wire/client_api.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// A machine's reference to a live placement. Only MachineInventory stores these references; they
/// are valid as long as the job holds the placement.
struct PlacementRef {
  Job* job;
  std::uint32_t task;
  std::uint64_t attempt;

  Placement& placement() const { return *job->find(task, attempt); }
  bool operator==(const PlacementRef&) const = default;
};

/// The unit of scale-out requests: a machine type in a zone, on demand or spot.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Whether the job's constraints on type, zone and spot allow machines of this kind.
bool allows(const wire::JobSpec& spec, const MachineKind& kind);

/// One attempt of one task.
struct TaskAttempt {
  wire::TaskName task;
  std::uint64_t attempt = 0;
  auto operator<=>(const TaskAttempt&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// An image in the cache of a machine.
struct CachedImage {
  std::string name;
  double size_gb = 0;
};

/// State of a machine as known from the cloud, and from scale-out requests and deletions.
struct CloudStatus {
  /// When its scale-out request succeeded, or when this leader added it; earlier if the age in the
  /// cloud's list shows that it is older.
  double provisioned_at = 0;
  bool provisioned_by_this_leader = false;
  bool listed = false;   ///< has appeared in a list of the cloud
  bool booting = false;  ///< as last listed
  bool failed = false;   ///< has been listed as failed, which is final
  bool overdue = false;  ///< has been booting for so long that it may never report (BootMonitor)
  bool terminating = false;  ///< this leader deletes it; nothing is placed on it
  /// When the cloud reclaims it, according to its preemption notice.
  std::optional<double> reclaim_at;
};

/// State of a machine's agent, from its messages to this leader.
struct AgentStatus {
  bool heartbeat_received = false;  ///< or the response to a direct command
  /// The agent has sent this leader's fencing token in its current agent epoch.
  bool token_acknowledged = false;
  AgentSequence newest_message;    ///< of heartbeats and responses to direct commands
  AgentSequence newest_heartbeat;  ///< of heartbeats alone
  double last_heartbeat = 0;       ///< when the newest message was applied
  /// Consecutive responses after which it still did not send this leader's fencing token.
  int unacknowledged_responses = 0;
  /// Until when nothing is placed on it, since responses seem not to reach it; 0: they do.
  double unresponsive_until = 0;
  int unknown_tasks = 0;  ///< reported tasks without a placement that have not exited
  /// The fencing token of this term that its messages carry; 0: the term's first (TermTokens).
  std::uint64_t fencing_token = 0;
  /// The highest fencing token with which a start was sent straight to it in its current epoch; 0:
  /// none. Each such request may be executed again while the agent has seen no higher token, so a
  /// `forget` goes only with a higher one (invariant 5).
  std::uint64_t direct_start_token = 0;
};

/// Inputs for the expiry of an agent's lease; see LeaseTracker.
struct AgentLease {
  double last_response = 0;  ///< when this leader last responded to a heartbeat with 200
  /// By forwarder name: until when it may respond to heartbeats in place of this leader.
  std::map<std::string, double> delegated_until;
  double redirected_at = 0;  ///< when it was last redirected to a forwarder
  bool expired = false;      ///< certainly expired; its tasks have ended
  /// Until when the machine is kept without heartbeats, since its zone is or recently was
  /// unreachable.
  double grace_until = 0;
};

/// Whether tasks failed on a machine so that it takes none but a retry now and then.
enum class Quarantine {
  none,
  suspected,  ///< tasks of several jobs failed; the jobs may turn out to be at fault
  confirmed,  ///< a task failed of a job that has completed tasks before
};

/// Failures of tasks on a machine; maintained by FailureTracker.
struct MachineFaults {
  Quarantine quarantine = Quarantine::none;
  double quarantined_since = 0;
  /// Jobs with failed tasks here since a task last completed here, except crash-looping jobs.
  std::set<std::string> failed_jobs;
  double last_failure_at = 0;  ///< of a task of a job that is not crash looping
  RetryPacing retry;           ///< of single tasks while the machine is quarantined
};

/// A machine. All times are seconds on the steady clock of this leader.
struct Machine {
  std::string id;
  MachineKind kind;
  std::string address;     ///< of the agent; empty: unknown
  double known_since = 0;  ///< when this leader added it
  CloudStatus cloud;
  AgentStatus agent;
  AgentLease lease;
  MachineFaults faults;
  std::vector<CachedImage> images;  ///< most recently used last
  wire::Resources allocated;        ///< the sum over `tasks`
  std::vector<PlacementRef> tasks;  ///< live placements; maintained by MachineInventory
  double idle_since = 0;            ///< when the last live placement ended

  /// Whether the machine is known to exist under this leader. A heartbeat alone does not prove
  /// that: it may be a stale copy from a machine that no longer exists.
  bool confirmed() const { return agent.token_acknowledged || cloud.provisioned_by_this_leader; }
  bool quarantined() const { return faults.quarantine != Quarantine::none; }
  bool idle() const { return tasks.empty() && agent.unknown_tasks == 0; }
  bool holds_image(const std::string& image) const;
  /// Moves the job's image to the end of the cache, and evicts the least recently used images
  /// beyond `cache_gb`; nullopt: evicts none.
  void record_image_use(const wire::JobSpec& spec, std::optional<double> cache_gb);
  /// Whether a task on it is to be stopped, or may still run although its placement has ended.
  bool stopping() const;
};

}  // namespace cranklock::sched
