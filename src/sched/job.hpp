// A job as the leader holds it: what was submitted, what is done, and its placements.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sched/agent_sequence.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"

namespace cranklock::sched {

/// A set of task numbers, kept as ordered ranges with gaps between them.
class TaskSet {
 public:
  /// The tasks from `from` to before `to`.
  struct Range {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    bool operator==(const Range&) const = default;
  };
  void add(std::uint32_t task);
  /// Appends a range that begins after all others.
  void add_range(Range range) { ranges_.push_back(range); }
  void merge(const TaskSet& other);
  bool contains(std::uint32_t task) const;
  std::uint32_t size() const;
  const std::vector<Range>& ranges() const { return ranges_; }

 private:
  std::vector<Range> ranges_;
};

/// Names a placement within its job.
struct PlacementKey {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  auto operator<=>(const PlacementKey&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// What is known of the write that puts a placement into the record of its job.
enum class PlacementWrite {
  pending,     ///< not sent yet, or known to have failed
  unresolved,  ///< not answered: it may have been applied, or may yet be
  abandoned,   ///< unresolved, and the placement is not wanted any more
  durable,     ///< the stored record names the placement
};

/// One attempt of one task on one machine, from the decision until it is proven gone. Task, attempt
/// and machine are stored; the rest is known to this leader only.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  PlacementWrite write = PlacementWrite::pending;
  /// Proven gone, and counted nowhere. Kept until a record without it is durable, since only then
  /// may the agent forget the task (invariant 5).
  bool ended = false;
  bool stop = false;  ///< to be stopped, saving a checkpoint if grace_s allows
  double grace_s = 0;
  double stop_requested_at = 0;
  /// Of a replica that a router keeps drained until then: its stop is sent only before that time,
  /// and only in answers to heartbeats, which are never carried out late (invariant 19).
  std::optional<double> drain_deadline;
  bool stop_sent = false;  ///< by a direct command; answers to heartbeats repeat it
  bool seen = false;       ///< a heartbeat showed it
  wire::TaskState state = wire::TaskState::fetching;
  double running_since = 0;
  double decided_at = 0;
  /// The newest heartbeat whose answer carried the start; epoch 0: none did. An absence counts only
  /// in a newer heartbeat (invariant 4).
  AgentSequence start_carrier;
  int unacknowledged = 0;  ///< heartbeats that came after such an answer and did not show it
  /// The agent epoch in which a direct start command was sent that was never answered: it may still
  /// be executed in that epoch (invariant 5). 0: none.
  std::uint64_t unconfirmed_start_epoch = 0;

  PlacementKey key() const { return {task, attempt}; }
  /// No start is sent before this (invariant 2).
  bool durable() const { return write == PlacementWrite::durable; }
  /// Until a later write of the record succeeds, or is found to have been forestalled, its room is
  /// not free for others (invariant 9).
  bool write_unresolved() const {
    return write == PlacementWrite::unresolved || write == PlacementWrite::abandoned;
  }
  bool abandoned() const { return write == PlacementWrite::abandoned; }
  /// Asks for a stop; the first request decides on the grace period.
  void request_stop(double grace, double now);
  /// Asks for the stop of a replica that a router keeps drained until `deadline`, or prolongs such
  /// a request. Of no effect on a placement that is to be stopped in any case.
  void request_drained_stop(double deadline, double now);
  /// Withdraws a request for a drained stop. If the stop was carried out meanwhile, the next
  /// heartbeat shows it.
  void revoke_drained_stop();
};

inline constexpr std::int64_t kNoDeadline = INT64_MAX;

/// How urgent a job is, by itself and by its dependents, as of the last placement pass.
struct Urgency {
  wire::Priority priority = wire::Priority::standard;  ///< the highest of them all
  /// Time of day by which it has to start so that each of them meets its deadline, if all take as
  /// long as their owners estimate.
  std::int64_t start_by_ms = kNoDeadline;
};

/// How the record of a job stands in the store, as far as this leader knows.
struct RecordStatus {
  std::uint64_t revision = 0;  ///< of the main value; writes are conditional on it
  int parts = 0;               ///< stored beside the main value
  /// Of the write that made the record, the same in its parts; a cancellation leaves both as they
  /// are. 0: written before there were any.
  std::uint64_t generation = 0;
  bool dirty = false;      ///< the job holds something that is not stored yet
  double dirty_since = 0;  ///< when it was first looked at for writing; 0: not yet
  bool too_large = false;  ///< for any transaction; said once in the log
};

/// Failures of a job's tasks and the retries that follow; kept by FailureTracker.
struct RetryState {
  double backoff_until = 0;  ///< no task is placed before
  /// Rounds of starts in a row that failed, on machines that are not known as faulty.
  int failed_rounds = 0;
  int earlier_rounds = 0;  ///< the same under former leaders, judged by the attempts
  /// Machines where a task of it failed since it last worked.
  std::set<std::string> failed_machines;
  bool succeeded = false;  ///< a task of it completed somewhere
};

/// A live job: its stored record, and what this leader alone knows of it. Times in milliseconds are
/// times of day, others seconds on the steady clock of this leader.
struct Job {
  // Stored.
  wire::JobSpec spec;
  std::int64_t created_ms = 0;
  std::int64_t cancelled_at_ms = 0;  ///< 0: not cancelled
  std::uint64_t last_attempt = 0;    ///< the highest given so far (invariant 12)
  TaskSet done;
  std::vector<Placement> placements;  ///< by task and attempt, once ClusterState holds the job

  // Known to this leader alone.
  RecordStatus record;
  RetryState retry;
  double known_since = 0;
  double cancelled_since = 0;  ///< not after the cancellation
  bool guaranteed = false;     ///< within its team's guarantee, as of the last placement pass
  /// All jobs that it needs are known to be done; until then none of its tasks is placed or started
  /// (invariant 14). Kept by JobTable.
  bool dependencies_met = true;
  /// From when its waiting counts: its submission, or the end of the last job that it needs if that
  /// came later.
  std::int64_t ready_ms = 0;
  Urgency urgency;

  /// Its tasks fail on every machine: no machine is at fault.
  bool crash_looping() const { return retry.failed_machines.size() >= 2 && !retry.succeeded; }
  bool cancelled() const { return cancelled_at_ms != 0; }
  bool complete() const { return done.size() == spec.tasks; }
  /// Placements that have not ended.
  std::size_t live() const;
  /// Where the task's attempt is among the placements, or would be inserted.
  std::vector<Placement>::iterator position(std::uint32_t task, std::uint64_t attempt);
  /// nullptr: there is no such placement.
  Placement* find(std::uint32_t task, std::uint64_t attempt);
  void sort_placements();
  /// Whether the task is neither done nor on any machine.
  bool is_pending(std::uint32_t task) const;
  /// The placement of the task that has not ended; nullptr: there is none.
  const Placement* live_placement(std::uint32_t task) const;
  /// Up to `max_tasks` tasks that are neither done nor on any machine.
  std::vector<std::uint32_t> pending(std::size_t max_tasks) const;
  std::uint32_t pending_count() const;
};

}  // namespace cranklock::sched
