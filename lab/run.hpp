// One run of the test bench. run.cpp starts and stops the run, tracks the fleet and injects faults;
// run_users.cpp submits and follows jobs; run_report.cpp evaluates the run and writes the report.
#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lab/controllers.hpp"
#include "lab/fragments.hpp"
#include "lab/quota_audit.hpp"
#include "lab/region.hpp"
#include "lab/settings.hpp"
#include "rule_checker.hpp"
#include "stored_placements.hpp"

namespace cranklock::lab {

/// Executes a plan against real controllers and checks the scheduling rules throughout.
class Run : public testing::WorkerStandIn::TaskEnvironment {
 public:
  Run(const LabPlan& plan, const std::string& program, const std::string& folder);

  /// Executes the plan to its end; returns false if an address could not be listened on.
  bool execute();
  /// The report as JSON, labelled as a run with stand-ins so that its figures are not mistaken for
  /// those of real machines.
  std::string report() const;
  /// True if the plan and all faults were executed, every submission was accepted, no controller
  /// exited by itself or held more memory than its limit, the quotas add up, the fragmentation
  /// scenario succeeded and no rule was violated. Quotas are checked with several regions only.
  bool passed() const;

  /// Human-readable reason why the run did not pass; empty if it passed.
  std::string failure_reason() const;
  /// One line of human-readable results.
  std::string summary() const;

  double fetch_s(const wire::TaskName&) const override { return plan_.fetch_s; }
  double run_s(const wire::TaskName& task) const override;
  bool is_completed(const wire::TaskName& task) const override {
    return rules_.is_completed(task.job, task.index);
  }
  void on_start_command(const wire::TaskName& task) override {
    rules_.on_start_command(task.job, reactor_.now());
  }
  bool on_image_fetched(const testing::WorkerStandIn& worker, const wire::TaskName& task) override;
  std::optional<testing::GangState> gang_state(const wire::TaskName& task,
                                               std::uint64_t attempt) override;
  double gang_wait_s() const override { return plan_.gang_wait_s; }
  bool must_fail(const testing::WorkerStandIn& worker, const wire::TaskName& task) const override;
  void on_task_completed(const wire::TaskName& task) override {
    rules_.on_task_completed(task.job, task.index);
  }

 private:
  struct Job {
    const ClassPlan* plan = nullptr;
    double submitted_at = 0, started_at = -1;
    std::set<const testing::WorkerStandIn*> machines;  ///< those that have fetched its image
  };
  struct Counts {
    int submitted = 0, accepted = 0, done = 0, cancelled = 0, task_starts = 0;
    std::vector<double> start_delays_s;  ///< from the job's submission to each task start
  };

  net::Task<void> submit_jobs(const ClassPlan& plan);
  net::Task<void> follow_job(wire::JobSpec spec, const ClassPlan& plan, int region);
  /// Sends a user's request to a random controller of the region. Returns the status, or 0 without
  /// a response, and stores the job's state from the response.
  net::Task<int> send_request(int region, std::string method, std::string path, std::string body,
                              std::string* state);
  net::Task<void> monitor_fleet();
  net::Task<void> inject_fault(const FaultPlan& fault);
  /// Starts the controllers that were killed; copies of what was sent before arrive as they start.
  void restart_controllers(const std::string& region);
  /// Records the time from now until a new leader of the region serves.
  net::Task<void> measure_takeover(std::string region);
  net::Task<void> finish_after_plan();
  wire::JobSpec make_job(const ClassPlan& plan);
  int pick_region();
  /// Submits one job to the region and polls it until it ends; returns its id.
  std::string submit(const ClassPlan& plan, int region);
  std::unique_ptr<FragmentationScenario> make_fragmentation_scenario();
  void finish();
  /// Whether no controller held more than its memory limit at any time.
  bool is_memory_within_limit() const;
  /// The factor of the plan's submission rates now: 0 before and after the submissions.
  double submission_rate_factor() const;
  /// Passes the tasks held by all machines with a valid lease to the rule checker.
  void check_rules();
  void check_quota_at_start(const testing::WorkerStandIn& worker, const wire::TaskName& task);
  void check_stored_placements(Region& region);
  /// Appends the job's tasks that have their image and have not exited.
  void add_held_tasks(const std::string& id, std::vector<testing::HeldTask>& held);
  Region& region_named(const std::string& name);
  void show_progress() const;
  void write_classes(wire::JsonWriter& writer) const;
  void write_starts(wire::JsonWriter& writer) const;
  void write_regions(wire::JsonWriter& writer) const;
  void write_controllers(wire::JsonWriter& writer) const;
  bool is_lease_expired(const testing::WorkerStandIn& worker) const;
  /// The number of the gang's tasks that have their image and have not exited.
  std::size_t present_tasks(const testing::GangAttempt& gang) const;
  double elapsed_s() const { return reactor_.now() - started_at_; }

  const LabPlan& plan_;
  base::Settings settings_;
  testing::RuleChecker rules_;
  testing::GangStandIn gangs_;
  net::EvReactor reactor_;
  net::HttpClient client_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<Region>> regions_;
  Controllers controllers_;
  double started_at_ = 0;
  std::map<std::string, Job> jobs_;
  /// By team: its jobs that may have tasks on machines.
  std::map<std::string, std::set<std::string>> jobs_with_tasks_;
  std::map<std::string, testing::StoredPlacements> stored_placements_;  ///< by region
  std::map<std::string, Counts> counts_by_class_;
  std::map<int, int> task_starts_by_second_;
  std::size_t max_held_tasks_ = 0, held_tasks_ = 0;
  int faults_injected_ = 0, last_job_number_ = 0;
  std::vector<double> takeover_s_;
  bool finished_ = false;
  std::vector<Controllers::Usage> controller_usage_;
  QuotaAudit quota_audit_;  ///< filled at the end of a run with several regions
  std::unique_ptr<FragmentationScenario> fragmentation_;  ///< null unless the plan has [fragments]
  net::Scope scope_;  ///< last member: coroutines are destroyed before the objects they use
};

}  // namespace cranklock::lab
