// A job as the leader holds it: what was submitted, what is done, and where its tasks are.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"

namespace cranklock::sched {

/// Task numbers, kept as ordered ranges [from, to).
class TaskSet {
 public:
  using Range = std::pair<std::uint32_t, std::uint32_t>;
  void add(std::uint32_t task);
  void add_range(Range range) { ranges_.push_back(range); }
  void merge(const TaskSet& other);
  bool contains(std::uint32_t task) const;
  std::uint32_t size() const;
  const std::vector<Range>& ranges() const { return ranges_; }

 private:
  std::vector<Range> ranges_;
};

/// One attempt of one task on one machine, from the decision until it is proven gone.
struct Placement {
  std::uint32_t task = 0;
  std::uint64_t attempt = 0;
  std::string machine;
  bool durable = false;  ///< the stored record names it; before that no start may be sent
  /// Proven free, and counted nowhere; kept until a record without it is durable, since only then
  /// may the worker forget the task.
  bool ended = false;
  /// A write that names it was not answered, and may yet be carried out: until a later write of the
  /// record succeeds, or is found to have been forestalled, its room is not free for others.
  bool write_unresolved = false;
  bool abandoned = false;  ///< not wanted any more, its outcome being unknown
  bool stop = false;       ///< to be stopped, saving if grace_s allows
  double grace_s = 0;
  double stop_requested_at = 0;
  /// A replica that a router keeps drained until then: its stop goes out only before it, and only
  /// in answers to reports, which are never carried out late (invariant 19).
  std::optional<double> drain_deadline;
  bool stop_sent = false;  ///< straight to the worker; its heartbeats' answers repeat it
  bool seen = false;       ///< a heartbeat showed it
  wire::TaskState state = wire::TaskState::fetching;
  double running_since = 0;
  double decided_at = 0;
  /// The newest heartbeat whose answer carried the start; an absence counts only in a newer
  /// heartbeat.
  std::uint64_t start_epoch = 0, start_sequence = 0;
  int unacknowledged = 0;  ///< reports that came after such an answer and did not show it
  /// A start sent straight to the worker in this agent epoch that was never answered: it may still
  /// be executed there. 0: none.
  std::uint64_t unconfirmed_start_epoch = 0;
};

inline constexpr std::int64_t kNoDeadline = INT64_MAX;

/// How urgent a job is, by itself and by the jobs that need it, as of the last placement pass.
struct Urgency {
  wire::Priority priority = wire::Priority::standard;  ///< the highest of all
  /// Time of day by which it has to start, so that each of them meets its deadline if all take as
  /// long as their owners estimate.
  std::int64_t start_by_ms = kNoDeadline;
};

struct Job {
  wire::JobSpec spec;
  std::int64_t created_ms = 0;
  std::int64_t cancelled_at_ms = 0;  ///< 0: not cancelled
  std::uint64_t last_attempt = 0;
  TaskSet done;
  std::vector<Placement> placements;  ///< by task and attempt, once ClusterState holds the job
  // Known to this leader only.
  std::uint64_t revision = 0;
  int stored_parts = 0;
  bool dirty = false;
  double dirty_since = 0;  ///< when it was first looked at for writing; 0: not yet
  bool too_long = false;   ///< for any transaction
  /// Of the write that made the record, the same in its parts; a cancellation leaves both as they
  /// are. 0: written before there were any.
  std::uint64_t generation = 0;
  double known_since = 0;
  double backoff_until = 0;
  int failures = 0;  ///< rounds of starts in a row that failed, on machines not known as faulty
  int earlier_rounds = 0;  ///< under former leaders, by its attempts
  std::set<std::string>
      failed_machines;     ///< machines where a task of it failed, since it last worked
  bool succeeded = false;  ///< a task of it completed somewhere
  double cancelled_since = 0;
  bool guaranteed = false;  ///< as of the last placement pass
  /// All jobs that it needs are known to have been done; until then none of its tasks is placed or
  /// started (invariant 14). Kept by ClusterState.
  bool dependencies_met = true;
  /// Time of day from which its waiting counts: its submission, or the end of the last job that it
  /// needs if that came later.
  std::int64_t ready_ms = 0;
  Urgency urgency;

  /// It fails wherever it is started: no machine is to blame for that.
  bool crash_looping() const { return failed_machines.size() >= 2 && !succeeded; }
  bool cancelled() const { return cancelled_at_ms != 0; }
  bool complete() const { return done.size() == spec.tasks; }
  std::size_t live() const;
  /// The place of a task's attempt among the placements, or where it would be.
  std::vector<Placement>::iterator position(std::uint32_t task, std::uint64_t attempt);
  Placement* find(std::uint32_t task, std::uint64_t attempt);
  void sort_placements();
  /// Whether the task is neither done nor on any machine.
  bool is_pending(std::uint32_t task) const;
  /// The placement of the task that has not ended, if there is one.
  const Placement* live_placement(std::uint32_t task) const;
  /// Up to `max_tasks` tasks that are neither done nor on any machine.
  std::vector<std::uint32_t> pending(std::size_t max_tasks) const;
  std::uint32_t pending_count() const;
};

}  // namespace cranklock::sched
