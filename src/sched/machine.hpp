// A machine as the leader knows it.
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

/// A live placement as its machine refers to it. MachineInventory alone keeps these references;
/// they are valid as long as the job holds the placement.
struct PlacementRef {
  Job* job;
  std::uint32_t task;
  std::uint64_t attempt;

  Placement& placement() const { return *job->find(task, attempt); }
  bool operator==(const PlacementRef&) const = default;
};

/// What is rented: a machine type in a zone, as an ordinary or as a spot machine.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Whether a task of the job may ever run on machines of this kind.
bool allows(const wire::JobSpec& spec, const MachineKind& kind);

/// One start of one task.
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

/// What is known of a machine by way of the cloud.
struct CloudStatus {
  /// When its scale-out request was answered, or earlier by the age that the cloud lists.
  double provisioned_at = 0;
  bool provisioned_here = false;  ///< by this leader
  bool listed = false;            ///< some list has named it
  bool booting = false;           ///< as last listed
  bool failed = false;            ///< some list has called it failed, which is final
  bool overdue = false;      ///< it has booted for so long that it may never come up (BootMonitor)
  bool terminating = false;  ///< this leader deletes it; nothing is placed on it
  /// When the cloud reclaims it, by its preemption notice.
  std::optional<double> reclaim_at;
};

/// What the messages of a machine's agent to this leader have shown.
struct AgentStatus {
  bool heartbeat_received = false;  ///< or the answer to a direct command
  /// It has shown this leader's fencing token in its present agent epoch.
  bool token_acknowledged = false;
  AgentSequence newest_message;    ///< of heartbeats and of answers to direct commands
  AgentSequence newest_heartbeat;  ///< of heartbeats alone
  double last_heartbeat = 0;       ///< when the newest message was taken in
  /// Answers in a row after which it still did not show this leader's fencing token.
  int unacknowledged_responses = 0;
  double unresponsive_until = 0;  ///< answers do not seem to reach it; 0: they do
  int unknown_tasks = 0;          ///< reported tasks without a placement that have not exited
  /// Indeterminate starts of the present agent epoch: these tasks must not be forgotten
  /// (invariant 5).
  std::set<TaskAttempt> indeterminate_starts;
};

/// What bears on the lease of an agent; LeaseTracker judges it.
struct AgentLease {
  double last_response = 0;  ///< when this leader last answered a heartbeat 200
  /// Until when a forwarder, by name, may answer its heartbeats in place of this leader.
  std::map<std::string, double> delegated_until;
  double redirected_at = 0;  ///< when it was last sent to a forwarder
  bool expired = false;      ///< for certain; its tasks have ended
  /// Its zone is unreachable, or was until lately: it is kept until then though it is silent.
  double grace_until = 0;
};

/// Whether a machine takes no tasks because tasks failed on it.
enum class Quarantine {
  none,
  suspected,  ///< those of several jobs failed, which may turn out to be at fault themselves
  confirmed,  ///< one of a job that works elsewhere failed
};

/// Failures of tasks on a machine; kept by FailureTracker.
struct MachineFaults {
  Quarantine quarantine = Quarantine::none;
  double quarantined_since = 0;
  /// Jobs that failed here since a task last completed here, without those that are crash looping.
  std::set<std::string> failed_jobs;
};

/// All times are seconds on the steady clock of this leader.
struct Machine {
  std::string id;
  MachineKind kind;
  std::string address;     ///< of the agent; empty: not known yet
  double known_since = 0;  ///< to this leader
  CloudStatus cloud;
  AgentStatus agent;
  AgentLease lease;
  MachineFaults faults;
  std::vector<CachedImage> images;  ///< most recently used last
  wire::Resources allocated;        ///< the sum over `tasks`
  std::vector<PlacementRef> tasks;  ///< live placements; kept by MachineInventory
  double idle_since = 0;            ///< when the last of them ended

  /// It is known to exist under this leader. A heartbeat alone does not prove that: it may be a
  /// late copy from a machine that is gone.
  bool confirmed() const { return agent.token_acknowledged || cloud.provisioned_here; }
  bool quarantined() const { return faults.quarantine != Quarantine::none; }
  bool idle() const { return tasks.empty() && agent.unknown_tasks == 0; }
  bool holds_image(const std::string& image) const;
  /// Moves the job's image to the end of the cache, and evicts the least recently used ones beyond
  /// `cache_gb`; no size: none is evicted.
  void record_image_use(const wire::JobSpec& spec, std::optional<double> cache_gb);
  /// Something on it is to be stopped, or may still run though its placement has ended.
  bool stopping() const;
};

}  // namespace cranklock::sched
