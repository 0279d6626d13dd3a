// One run of the lab. run.cpp has its course, the fleet and the faults; run_users.cpp the users;
// run_report.cpp the verdict and the report.
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

namespace cranklock::lab {

/// Plays a plan around real controllers, with the rules checked.
class Run : public testing::WorkerStandIn::TaskEnvironment {
 public:
  Run(const LabPlan& plan, const std::string& program, const std::string& folder);

  /// Plays the plan to its end; false when something could not be started.
  bool play();
  /// JSON; labelled so that its figures are not taken for those of real machines.
  std::string report() const;
  /// All was played, every submission was accepted, and no rule broke.
  bool passed() const;

  /// Why it did not pass, for a person; empty: it did.
  std::string fault() const;
  /// One line for a person.
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
  bool is_gang_ready(const wire::TaskName& task, std::uint64_t attempt) const override;
  void on_task_completed(const wire::TaskName& task) override {
    rules_.on_task_completed(task.job, task.index);
  }

 private:
  struct Job {
    const ClassPlan* plan = nullptr;
    double submitted_at = 0, started_at = -1;
    std::set<const testing::WorkerStandIn*> machines;           ///< that have started a task of it
    std::map<std::uint64_t, std::set<std::uint32_t>> gathered;  ///< of a gang, by attempt
  };
  struct Counts {
    int submitted = 0, accepted = 0, done = 0, cancelled = 0, task_starts = 0;
    std::vector<double> start_s;  ///< from submission to a task's start
  };

  net::Task<void> submit_jobs(const ClassPlan& plan);
  net::Task<void> use(wire::JobSpec spec, const ClassPlan& plan, int region);
  net::Task<int> ask(int region, std::string method, std::string path, std::string body,
                     std::string* state);
  net::Task<void> watch_fleet();
  net::Task<void> play_fault(const FaultPlan& fault);
  /// Notes how long after now another controller of the region leads.
  net::Task<void> time_takeover(std::string region);
  net::Task<void> finish();
  wire::JobSpec next_job(const ClassPlan& plan);
  int pick_region();
  /// Submits one job to the region and follows it to its end; returns its id.
  std::string submit(const ClassPlan& plan, int region);
  std::unique_ptr<Fragments> make_fragments();
  void end();
  double rate_factor() const;
  /// Has the rule checker look at all that machines hold.
  void check_rules();
  void show_progress() const;
  void write_classes(wire::JsonWriter& writer) const;
  void write_starts(wire::JsonWriter& writer) const;
  void write_regions(wire::JsonWriter& writer) const;
  void write_controllers(wire::JsonWriter& writer) const;
  bool lease_over(const testing::WorkerStandIn& worker) const;
  double now() const { return reactor_.now() - began_; }

  const LabPlan& plan_;
  base::Settings settings_;
  testing::RuleChecker rules_;
  net::EvReactor reactor_;
  net::HttpClient client_;
  std::mt19937 random_;
  std::vector<std::unique_ptr<Region>> regions_;
  Controllers controllers_;
  double began_ = 0;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Counts> counts_;  ///< by class
  std::map<int, int> starts_by_second_;
  std::size_t max_running_ = 0, running_ = 0;
  int faults_played_ = 0, next_id_ = 0;
  std::vector<double> takeover_s_;
  bool played_ = false;
  std::vector<Controllers::Usage> usage_;
  QuotaAudit quotas_;                     ///< at the end, where there are several regions
  std::unique_ptr<Fragments> fragments_;  ///< where the plan asks for it
  net::Scope scope_;                      ///< last, so that its routines end before what they use
};

}  // namespace cranklock::lab
