// Records violations of PROTOCOL's rules in responses to users and in the places and times at which
// tasks start and run. Every test cluster has one, so that each test checks all rules.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "sched/cluster_state.hpp"
#include "wire/client_api.hpp"

namespace cranklock::testing {

/// A task on a machine.
struct HeldTask {
  std::string job, machine;
  std::uint32_t task = 0;
  sched::MachineKind kind;
  bool has_image = true;  ///< PROTOCOL counts a task as on its machine once its image is fetched
};

class RuleChecker {
 public:
  explicit RuleChecker(const base::Settings& settings) : settings_(settings) {}

  /// Violated rules, each with a description of its first violation.
  std::map<std::string, std::string> violations;
  /// Not violations, but figures that operators track: start commands that reached a machine after
  /// the confirmed cancellation of their job, and the longest time after it, in seconds.
  int late_starts = 0;
  double max_start_delay_s = 0;

  // ---- users ----
  struct UserRequest {
    enum class Kind { submit, status, cancel, other };
    Kind kind = Kind::other;
    std::string job;
    int reported = 0;     ///< at the time of the request: 0 nothing, 1 accepted, 2 ended
    std::string outcome;  ///< reported before the request
  };
  UserRequest on_request(const std::string& method, const std::string& path,
                         const std::string& body);
  void on_response(const UserRequest& request, int status, const std::string& body, double now);

  // ---- machines ----
  void on_task_completed(const std::string& job, std::uint32_t task) {
    jobs_[job].completed_tasks.insert(task);
  }
  /// All tasks of the gang have completed, as they do together.
  void on_gang_completed(const std::string& job);
  bool is_completed(const std::string& job, std::uint32_t task) const {
    const auto it = jobs_.find(job);
    return it != jobs_.end() && it->second.completed_tasks.contains(task);
  }
  /// Checks a task that starts while machines hold `others`.
  void on_task_started(const HeldTask& task, const std::vector<HeldTask>& others, double now);
  /// Checks that the tasks held now exceed no quota and include none cancelled over cancel_s ago.
  void check_held_tasks(const std::vector<HeldTask>& held, double now);
  /// Checks that the placements in the stored job records, summed by team, exceed no quota. Not a
  /// rule of PROTOCOL: a new leader would start them all.
  void check_stored_use(const std::map<std::string, wire::Resources>& use_by_team, double now);
  /// Records that a start command has reached a machine.
  void on_start_command(const std::string& job, double now);

  const wire::JobSpec* spec(const std::string& job) const;
  std::vector<std::string> accepted_jobs() const;
  /// The end state reported to users; "" before that.
  std::string outcome(const std::string& job) const;
  /// When a cancellation was first reported to users; negative: not yet.
  double cancelled_at(const std::string& job) const;

 private:
  struct Job {
    bool submitted = false, has_spec = false, cancel_requested = false;
    int reported = 0;
    std::string outcome;
    double cancelled_at = -1;
    wire::JobSpec spec;
    std::set<std::uint32_t> completed_tasks;
  };
  /// The job's dependencies, direct and transitive.
  std::set<std::string> ancestors(const std::string& job) const;
  /// When the cancellation of a dependency, direct or transitive, was first reported; negative:
  /// none.
  double dependency_cancelled_at(const std::string& job) const;
  /// Whether a user has requested the cancellation of the job or of one of its dependencies.
  bool cancel_requested(const std::string& job) const;
  void check_dependencies_done(const std::string& job, const std::string& task);
  void report_violation(const std::string& rule, const std::string& how);
  bool exceeds_limit(const std::string& team, const wire::Resources& use) const;
  const base::Settings& settings_;
  std::map<std::string, Job> jobs_;
};

}  // namespace cranklock::testing
