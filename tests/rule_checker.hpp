// Counts what breaks PROTOCOL's rules: what users are told, and what starts and stays where. Every
// cluster has one, so that no scenario can pass over a broken rule.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "sched/cluster_state.hpp"
#include "wire/messages.hpp"

namespace cranklock::testing {

/// A task as its machine has it.
struct HeldTask {
  std::string job, machine;
  std::uint32_t task = 0;
  sched::MachineKind kind;
  bool has_image = true;  ///< and so is on its machine, as PROTOCOL counts it
};

class RuleChecker {
 public:
  explicit RuleChecker(const base::Settings& settings) : settings_(settings) {}

  /// How often each rule was broken, and how, the first time.
  std::map<std::string, std::string> broken;
  /// Not a rule, and counted by the operators all the same: starts that reached a machine after a
  /// confirmed cancellation, and the longest that one was late.
  int late_starts = 0;
  double latest_start = 0;

  // ---- what users ask and are told ----
  struct Question {
    enum class Kind { submit, status, cancel, other };
    Kind kind = Kind::other;
    std::string job;
    int told = 0;         ///< when it was asked: 0 nothing, 1 accepted, 2 over
    std::string outcome;  ///< as told by then
  };
  Question ask(const std::string& method, const std::string& path, const std::string& body);
  void answered(const Question& question, int status, const std::string& body, double now);

  // ---- what machines do ----
  void completed(const std::string& job, std::uint32_t task) { jobs_[job].done.insert(task); }
  bool is_completed(const std::string& job, std::uint32_t task) const {
    const auto it = jobs_.find(job);
    return it != jobs_.end() && it->second.done.contains(task);
  }
  /// A task starts while these, the rest of what machines hold, are where they are.
  void starts(const HeldTask& task, const std::vector<HeldTask>& others, double now);
  /// Everything that machines hold at this moment.
  void check_held_tasks(const std::vector<HeldTask>& held, double now);
  /// A start command has reached a machine.
  void on_start_command(const std::string& job, double now);

  const wire::JobSpec* spec(const std::string& job) const;
  std::vector<std::string> accepted() const;
  /// "" while nobody was told of an end.
  std::string outcome(const std::string& job) const;
  double cancelled_at(const std::string& job) const;

 private:
  struct Job {
    bool submitted = false, described = false, cancel_asked = false;
    int told = 0;
    std::string outcome;
    double cancelled_at = -1;
    wire::JobSpec spec;
    std::set<std::uint32_t> done;
  };
  /// The jobs that it needs, directly and through others.
  std::set<std::string> ancestors(const std::string& job) const;
  /// When the first of those that it needs was called cancelled; below 0: none was.
  double orphaned_at(const std::string& job) const;
  bool cancel_asked(const std::string& job) const;
  void check_dependencies_done(const std::string& job, const std::string& task);
  void breaks(const std::string& rule, const std::string& how);
  const base::Settings& settings_;
  std::map<std::string, Job> jobs_;
};

}  // namespace cranklock::testing
