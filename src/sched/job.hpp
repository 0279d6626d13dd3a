// The leader's state of a job: its specification, completed tasks and placements.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/agent_sequence.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"

namespace cranklock::sched {

/// A set of task numbers, stored as sorted, disjoint, non-adjacent ranges.
class TaskSet {
 public:
  /// The half-open range of tasks [from, to).
  struct Range {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    bool operator==(const Range&) const = default;
  };
  void add(std::uint32_t task);
  /// Replaces the set by the tasks [0, count).
  void assign_first(std::uint32_t count) { ranges_ = {{0, count}}; }
  /// Appends a range that starts after the end of all others.
  void add_range(Range range) { ranges_.push_back(range); }
  void merge(const TaskSet& other);
  bool contains(std::uint32_t task) const;
  std::uint32_t size() const;
  const std::vector<Range>& ranges() const { return ranges_; }

 private:
  std::vector<Range> ranges_;
};

/// Identifies a placement within its job.
struct PlacementKey {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  auto operator<=>(const PlacementKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// State of the write that adds a placement to the stored record of its job.
enum class PlacementWrite {
  pending,     ///< not sent yet, or known to have failed
  unresolved,  ///< no response: the write may have been applied, or may still be
  abandoned,   ///< unresolved, and the placement is no longer needed
  durable,     ///< the stored record contains the placement
};

/// One attempt of one task on one machine, from the placement decision until the attempt is proven
/// to be gone. Task, attempt and machine are stored; the rest is runtime state of this leader.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  PlacementWrite write = PlacementWrite::pending;
  /// Proven gone, and no longer counted in any allocation. Kept until a record without it is
  /// durable, since only then may the agent forget the task (invariant 5).
  bool ended = false;
  bool stop_requested = false;  ///< a checkpoint is saved if `grace_s` allows
  double grace_s = 0;
  double stop_requested_at = 0;
  /// Until when a router keeps this replica drained. Its stop is sent only before that time, and
  /// only in responses to heartbeats, which an agent never executes late (invariant 19).
  std::optional<double> drain_deadline;
  bool stop_sent = false;  ///< by a direct command; heartbeat responses repeat the stop
  bool reported = false;   ///< a message of the agent has named this attempt
  wire::TaskState state = wire::TaskState::fetching;
  double running_since = 0;
  double decided_at = 0;
  /// Sequence of the newest heartbeat whose response carried the start, or of the response that
  /// confirmed a direct start command; epoch 0: none. An absence counts only in a newer heartbeat
  /// (invariant 4).
  AgentSequence last_start_sequence;
  int unacknowledged_starts = 0;  ///< heartbeats after a sent start that did not name the attempt
  /// The agent epoch in which a direct start command was sent that has had no response: it may
  /// still be executed in that epoch (invariant 5). 0: none.
  std::uint64_t indeterminate_start_epoch = 0;

  PlacementKey key() const { return {task, attempt}; }
  /// A start is sent only once the placement is durable (invariant 2).
  bool durable() const { return write == PlacementWrite::durable; }
  /// The placement's resources stay allocated until a later write of the record succeeds, or the
  /// unresolved write is found to be superseded by another change of the record (invariant 9).
  bool write_unresolved() const {
    return write == PlacementWrite::unresolved || write == PlacementWrite::abandoned;
  }
  bool abandoned() const { return write == PlacementWrite::abandoned; }
  /// Whether records written from now on contain it.
  bool is_recorded() const { return !ended && !abandoned(); }
  /// Whether this leader has sent its start, directly or in the response to a heartbeat.
  bool start_sent() const {
    return last_start_sequence.epoch != 0 || indeterminate_start_epoch != 0;
  }
  /// Requests a stop; the first request sets the grace period.
  void request_stop(double grace, double now);
  /// Requests the stop of a replica that a router keeps drained until `deadline`, or extends the
  /// deadline of such a request. No effect if an unconditional stop has been requested.
  void request_drained_stop(double deadline, double now);
  /// Withdraws a request for a drained stop. If the agent has already executed the stop, the next
  /// heartbeat reports the exit.
  void revoke_drained_stop();
};

inline constexpr std::int64_t kNoDeadline = INT64_MAX;

/// Urgency of a job, including that of its dependents, as of the last placement pass.
struct Urgency {
  wire::Priority priority = wire::Priority::standard;  ///< highest of the job and its dependents
  /// Latest start, as a time of day, with which the job and its dependents meet their deadlines if
  /// each takes as long as estimated in its specification.
  std::int64_t start_by_ms = kNoDeadline;
};

/// Bounds of the number of placements in a stored record. They differ while it is unknown whether a
/// write was applied.
struct StoredPlacementCount {
  std::size_t least = 0, most = 0;

  /// The record is known to contain this number.
  void set(std::size_t count) { least = most = count; }
  /// A write with this number of placements may be applied.
  void extend(std::size_t count) {
    least = std::min(least, count);
    most = std::max(most, count);
  }
};

/// State of a job's record in the state service, as known to this leader.
struct RecordStatus {
  StoredPlacementCount placements;
  std::uint64_t revision = 0;  ///< of the main value; writes compare and swap on it
  int parts = 0;               ///< number of values stored in addition to the main value
  /// Generation of the write that created the record, equal in the main value and its parts; a
  /// cancellation changes neither. 0: written by a version without generations.
  std::uint64_t generation = 0;
  bool dirty = false;      ///< the job has changes that are not stored yet
  double dirty_since = 0;  ///< when it was first considered for writing; 0: not yet
  bool too_large = false;  ///< for one transaction; set so that it is logged only once
};

/// Pace of the retries on a machine on which tasks have failed; maintained by FailureTracker.
struct RetryPacing {
  double due_at = 0;         ///< when the next task may be placed there
  bool in_progress = false;  ///< a task was placed there as a retry and has not failed so far
  int failures = 0;          ///< failed retries since a task last ran there without failing
};

/// Task failures and retry backoff of a job; maintained by FailureTracker.
struct RetryState {
  double backoff_until = 0;  ///< no task is placed before this time
  /// Consecutive failed rounds of starts on machines that are not known to be faulty.
  int failed_rounds = 0;
  int earlier_failed_rounds = 0;  ///< under former leaders, estimated from the attempt numbers
  /// Machines on which a task of the job failed since the last completion or long-running replica.
  std::set<std::string> failed_machines;
  /// Of the job's tasks on the only machine in `failed_machines`, for want of another machine.
  RetryPacing same_machine;
  bool same_machine_works = false;  ///< a task of the job has run there since without failing
  bool succeeded = false;           ///< a task of the job has completed on some machine
};

/// A live job: its stored record and the runtime state of this leader. Times in milliseconds are
/// times of day; others are seconds on the steady clock of this leader.
struct Job {
  // Stored.
  wire::JobSpec spec;
  std::int64_t created_ms = 0;
  std::int64_t cancelled_at_ms = 0;  ///< 0: not cancelled
  std::uint64_t last_attempt = 0;    ///< the highest number assigned so far (invariant 12)
  TaskSet done;
  std::vector<Placement> placements;  ///< sorted by task and attempt once ClusterState has the job

  // Runtime state of this leader, not stored.
  RecordStatus record;
  RetryState retry;
  std::size_t counted_bytes = 0;  ///< its part of JobTable::memory_bytes()
  double known_since = 0;
  double cancelled_since = 0;  ///< lower bound of the time of the cancellation
  bool guaranteed = false;     ///< within its team's guarantee, as of the last placement pass
  /// All its dependencies are known to be done; until then none of its tasks is placed or started
  /// (invariant 14). Maintained by JobTable.
  bool dependencies_met = true;
  /// A placement pass has tried to place its tasks.
  bool considered = false;
  /// Start of its queueing time: its submission, or the end of its last dependency if that was
  /// later.
  std::int64_t ready_ms = 0;
  Urgency urgency;

  /// Its tasks fail on several machines and none has completed: the job is at fault.
  bool crash_looping() const { return retry.failed_machines.size() >= 2 && !retry.succeeded; }
  /// Whether another machine is preferred to this one. A failure on a single machine may be that
  /// machine's fault; failures on several indicate a fault of the job.
  bool avoids(const std::string& machine) const {
    return retry.failed_machines.size() == 1 && !retry.same_machine_works &&
           retry.failed_machines.contains(machine);
  }
  bool cancelled() const { return cancelled_at_ms != 0; }
  bool complete() const { return done.size() == spec.tasks; }
  /// Whether its tasks may run: it has not ended, and all its dependencies are done.
  bool runnable() const { return !cancelled() && !complete() && dependencies_met; }
  /// Whether its tasks may be placed now, apart from resources and quota.
  bool placeable(double now) const { return runnable() && retry.backoff_until <= now; }
  /// Records that a task has completed. The tasks of a gang complete together (PROTOCOL, "Gangs"),
  /// so the completion of one is that of all.
  void mark_completed(std::uint32_t task);
  /// If any task of a gang has completed, records that all have. Earlier versions recorded only the
  /// tasks whose exit was reported; such a gang could neither complete nor be placed again.
  void complete_partly_done_gang();
  /// The number of placements that have not ended.
  std::size_t live_count() const;
  /// The number of placements that a record written now would contain.
  std::size_t recorded_count() const;
  /// The position of the task's attempt in `placements`, or its insertion point.
  std::vector<Placement>::iterator position(std::uint32_t task, std::uint64_t attempt);
  /// nullptr: no such placement.
  Placement* find(std::uint32_t task, std::uint64_t attempt);
  void sort_placements();
  /// Whether the task is neither done nor placed.
  bool is_pending(std::uint32_t task) const;
  /// The task's placement that has not ended; nullptr: none.
  const Placement* live_placement(std::uint32_t task) const;
  /// Up to `max_tasks` tasks that are neither done nor placed.
  std::vector<std::uint32_t> pending_tasks(std::size_t max_tasks) const;
  std::uint32_t pending_count() const;
};

}  // namespace cranklock::sched
