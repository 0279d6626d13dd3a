// Start and end of a lab run, the task environment of its workers, and fault injection.
#include "lab/run.hpp"

#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {

base::Settings rule_checker_settings(const LabPlan& plan) {
  base::Settings settings;
  settings.cancel_s = plan.cancel_s;
  settings.lease_s = plan.lease_s;
  for (int i = 0; i < plan.teams; ++i) {
    settings.teams.push_back(
        {"team-" + std::to_string(i), 0, 0, plan.guarantee_gpus, plan.limit_gpus});
  }
  return settings;
}

}  // namespace

Run::Run(const LabPlan& plan, const std::string& program, const std::string& folder)
    : plan_(plan),
      settings_(rule_checker_settings(plan)),
      rules_(settings_),
      client_(reactor_, std::size_t{1024} * 1024, 1024),
      random_(plan.seed),
      controllers_(plan, program, folder) {
  for (const auto& region : plan.regions) {
    const auto index = static_cast<int>(regions_.size());
    regions_.push_back(std::make_unique<Region>(reactor_, plan, region, index, *this,
                                                plan.seed + static_cast<unsigned>(index)));
    Region& added = *regions_.back();
    added.set_write_observer([this, &added] { check_stored_placements(added); });
  }
}

bool Run::execute() {
  started_at_ = reactor_.now();
  for (const auto& region : regions_) {
    if (!region->start(scope_)) return false;
  }
  if (!controllers_.start(reactor_, regions_, scope_)) return false;
  for (const auto& plan : plan_.classes) scope_.spawn(submit_jobs(plan));
  for (const auto& fault : plan_.faults) scope_.spawn(inject_fault(fault));
  fragmentation_ = make_fragmentation_scenario();
  if (fragmentation_ && !fragmentation_->start(scope_)) return false;
  scope_.spawn(monitor_fleet());
  if (!fragmentation_) scope_.spawn(finish_after_plan());
  reactor_.run();
  scope_.clear();
  if (fragmentation_) fragmentation_->stop();
  controllers_.stop_all();
  controller_usage_ = controllers_.usage();
  return finished_;
}

Task<void> Run::finish_after_plan() {
  Sleep pause(reactor_, plan_.settle_s + plan_.duration_s + plan_.drain_s);
  co_await pause;
  finish();
}

void Run::finish() {
  if (regions_.size() > 1) quota_audit_ = audit_quotas(regions_, settings_.teams);
  finished_ = true;
  reactor_.stop();
}

std::unique_ptr<FragmentationScenario> Run::make_fragmentation_scenario() {
  if (!plan_.fragments) return nullptr;
  const FragmentationScenario::Host host{[this](const ClassPlan& plan) { return submit(plan, 0); },
                                         [this] { finish(); }};
  return std::make_unique<FragmentationScenario>(reactor_, plan_, *regions_[0], controllers_, host,
                                                 plan_.seed);
}

// ---- task environment and rule checks ----

bool Run::must_fail(const testing::WorkerStandIn& worker, const wire::TaskName& task) const {
  return std::any_of(regions_.begin(), regions_.end(),
                     [&](const auto& region) { return region->fails_task(worker, task); });
}

bool Run::is_lease_expired(const testing::WorkerStandIn& worker) const {
  return worker.is_lease_expired(plan_.lease_s, reactor_.now());
}

double Run::run_s(const wire::TaskName& task) const {
  const auto& plan = *jobs_.at(task.job).plan;
  constexpr double kUnlimitedRunTimeS = 1e9;
  return plan.spec.kind == wire::JobKind::service ? kUnlimitedRunTimeS : plan.spec.estimate_s;
}

bool Run::on_image_fetched(const testing::WorkerStandIn& worker, const wire::TaskName& task) {
  Job& job = jobs_.at(task.job);
  std::vector<testing::HeldTask> others;
  add_held_tasks(task.job, others);
  check_quota_at_start(worker, task);
  rules_.on_task_started({task.job, worker.id, task.index, worker.kind, true}, others,
                         reactor_.now());
  job.machines.insert(&worker);
  Counts& counts = counts_by_class_[job.plan->spec.job_class];
  ++counts.task_starts;
  counts.start_delays_s.push_back(elapsed_s() - job.submitted_at);
  ++task_starts_by_second_[static_cast<int>(elapsed_s())];
  return job.plan->spec.kind != wire::JobKind::gang;
}

std::size_t Run::present_tasks(const testing::GangAttempt& gang) const {
  std::set<std::uint32_t> present;
  for (const auto* machine : jobs_.at(gang.job).machines) {
    if (!is_lease_expired(*machine)) machine->collect_gang_tasks(gang, present);
  }
  return present.size();
}

std::optional<testing::GangState> Run::gang_state(const wire::TaskName& task,
                                                  std::uint64_t attempt) {
  const auto& spec = jobs_.at(task.job).plan->spec;
  if (spec.kind != wire::JobKind::gang) return std::nullopt;
  const testing::GangAttempt gang{task.job, attempt};
  const testing::GangPlan plan{spec.tasks, run_s(task), plan_.gang_peer_s / 2};
  const auto state = gangs_.advance(gang, plan, present_tasks(gang), reactor_.now());
  if (state == testing::GangState::completed) rules_.on_gang_completed(task.job);
  return state;
}

void Run::check_rules() {
  std::vector<testing::HeldTask> held;
  for (const auto& region : regions_) {
    region->for_each_worker([&](const testing::WorkerStandIn& worker) {
      if (is_lease_expired(worker)) return;
      for (const auto& [name, task] : worker.tasks) {
        if (task.state == wire::TaskState::exited) continue;
        const auto task_name = *wire::parse_task(name);
        held.push_back({task_name.job, worker.id, task_name.index, worker.kind,
                        task.state != wire::TaskState::fetching});
      }
    });
  }
  held_tasks_ = held.size();
  max_held_tasks_ = std::max(max_held_tasks_, held_tasks_);
  rules_.check_held_tasks(held, reactor_.now());
}

void Run::check_stored_placements(Region& region) {
  const auto use = stored_placements_[region.plan().name].use_by_team(region.state().values);
  rules_.check_stored_use(use, reactor_.now());
}

// Checks the quota of the team at the moment at which one of its tasks gets its image. Jobs without
// tasks on machines are forgotten, so that the sum takes no longer with the number of past jobs.
void Run::check_quota_at_start(const testing::WorkerStandIn& worker, const wire::TaskName& task) {
  auto& jobs = jobs_with_tasks_[rules_.spec(task.job)->team];
  jobs.insert(task.job);
  std::vector<testing::HeldTask> held;
  for (auto id = jobs.begin(); id != jobs.end();) {
    const auto before = held.size();
    add_held_tasks(*id, held);
    const bool keep = held.size() > before || *id == task.job;
    id = keep ? std::next(id) : jobs.erase(id);
  }
  held.push_back({task.job, worker.id, task.index, worker.kind, true});
  rules_.check_held_tasks(held, reactor_.now());
}

void Run::add_held_tasks(const std::string& id, std::vector<testing::HeldTask>& held) {
  for (const auto* machine : jobs_.at(id).machines) {
    if (is_lease_expired(*machine)) continue;
    for (const auto& [name, task] : machine->tasks) {
      const auto other = *wire::parse_task(name);
      const bool is_started =
          task.state != wire::TaskState::exited && task.state != wire::TaskState::fetching;
      if (is_started && other.job == id)
        held.push_back({other.job, machine->id, other.index, machine->kind, true});
    }
  }
}

Task<void> Run::monitor_fleet() {
  for (;;) {
    check_rules();
    if (::isatty(STDERR_FILENO) != 0) show_progress();
    Sleep pause(reactor_, 1);
    co_await pause;
  }
}

void Run::show_progress() const {
  const auto second = task_starts_by_second_.find(static_cast<int>(elapsed_s()) - 1);
  std::cerr << "\r" << static_cast<int>(elapsed_s()) << " s of "
            << static_cast<int>(plan_.settle_s + plan_.duration_s + plan_.drain_s) << ": "
            << held_tasks_ << " tasks, "
            << (second == task_starts_by_second_.end() ? 0 : second->second) << " starts a second, "
            << jobs_.size() << " jobs, " << rules_.violations.size() << " rules broken   "
            << std::flush;
}

// ---- fault injection: add further kinds here, in FaultPlan and in read_fault ----

Region& Run::region_named(const std::string& name) {
  return **std::find_if(regions_.begin(), regions_.end(),
                        [&](const auto& region) { return region->plan().name == name; });
}

Task<void> Run::inject_fault(const FaultPlan& fault) {
  Sleep until(reactor_, plan_.settle_s + fault.at_s);
  co_await until;
  const auto set = [&](bool on) {
    switch (fault.kind) {
      case FaultPlan::Kind::region_apart:
        return controllers_.set_partitioned(fault.region, on);
      case FaultPlan::Kind::controller_crash:
        return on ? controllers_.crash_leader(fault.region) : restart_controllers(fault.region);
      case FaultPlan::Kind::all_controllers_crash:
        return on ? controllers_.crash_all(fault.region) : restart_controllers(fault.region);
      case FaultPlan::Kind::state_down:
        return region_named(fault.region).set_state_down(on);
      case FaultPlan::Kind::agents_mute:
        return region_named(fault.region).set_mute_share(on ? fault.share : 0);
      case FaultPlan::Kind::commands_late:
        return region_named(fault.region).set_late_command_share(on ? fault.share : 0);
      case FaultPlan::Kind::requests_copied:
        return region_named(fault.region).set_copied_request_share(on ? fault.share : 0);
      case FaultPlan::Kind::machines_fail:
        return region_named(fault.region).set_failing_share(on ? fault.share : 0);
    }
  };
  set(true);
  const bool leader_crashes = fault.kind == FaultPlan::Kind::controller_crash ||
                              fault.kind == FaultPlan::Kind::all_controllers_crash;
  if (leader_crashes) scope_.spawn(measure_takeover(fault.region));
  Sleep during(reactor_, fault.for_s);
  co_await during;
  set(false);
  ++faults_injected_;
}

void Run::restart_controllers(const std::string& region) {
  region_named(region).repeat_last_commands();
  controllers_.restart_stopped(region);
}

Task<void> Run::measure_takeover(std::string region) {
  constexpr double kPollIntervalS = 0.02;
  const double crashed_at = elapsed_s();
  const auto previous_token = controllers_.serving_fencing_token(region);
  while (controllers_.serving_fencing_token(region) == previous_token) {
    Sleep pause(reactor_, kPollIntervalS);
    co_await pause;
  }
  takeover_s_.push_back(elapsed_s() - crashed_at);
}

}  // namespace cranklock::lab
