// The course of a lab run: its start and end, what the fleet does, and faults.
#include "lab/run.hpp"

#include <unistd.h>

#include <algorithm>
#include <iostream>

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {

base::Settings checked_settings(const LabPlan& plan) {
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
      settings_(checked_settings(plan)),
      rules_(settings_),
      client_(reactor_, std::size_t{1024} * 1024, 1024),
      random_(plan.seed),
      controllers_(plan, program, folder) {
  for (const auto& region : plan.regions) {
    const auto index = static_cast<int>(regions_.size());
    regions_.push_back(std::make_unique<Region>(reactor_, plan, region, index, *this,
                                                plan.seed + static_cast<unsigned>(index)));
  }
}

bool Run::play() {
  began_ = reactor_.now();
  for (const auto& region : regions_) {
    if (!region->start(scope_)) return false;
  }
  if (!controllers_.start(reactor_, regions_, scope_)) return false;
  for (const auto& plan : plan_.classes) scope_.spawn(submit_jobs(plan));
  for (const auto& fault : plan_.faults) scope_.spawn(play_fault(fault));
  fragments_ = make_fragments();
  if (fragments_ && !fragments_->start(scope_)) return false;
  scope_.spawn(watch_fleet());
  if (!fragments_) scope_.spawn(finish());
  reactor_.run();
  scope_.clear();
  if (fragments_) fragments_->stop();
  controllers_.end_all();
  usage_ = controllers_.usage();
  return played_;
}

Task<void> Run::finish() {
  Sleep pause(reactor_, plan_.settle_s + plan_.duration_s + plan_.drain_s);
  co_await pause;
  end();
}

void Run::end() {
  if (regions_.size() > 1) quotas_ = audit_quotas(regions_, settings_.teams);
  played_ = true;
  reactor_.stop();
}

std::unique_ptr<Fragments> Run::make_fragments() {
  if (!plan_.fragments) return nullptr;
  const Fragments::Host host{[this](const ClassPlan& plan) { return submit(plan, 0); },
                             [this] { end(); }};
  return std::make_unique<Fragments>(reactor_, plan_, *regions_[0], controllers_, host, plan_.seed);
}

// ---- what the fleet does ----

bool Run::lease_over(const testing::WorkerStandIn& worker) const {
  return worker.is_lease_expired(plan_.lease_s, reactor_.now());
}

double Run::run_s(const wire::TaskName& task) const {
  const auto& plan = *jobs_.at(task.job).plan;
  constexpr double kForEver = 1e9;
  return plan.spec.kind == wire::JobKind::service ? kForEver : plan.spec.estimate_s;
}

bool Run::on_image_fetched(const testing::WorkerStandIn& worker, const wire::TaskName& task) {
  Job& job = jobs_.at(task.job);
  std::vector<testing::HeldTask> others;
  for (const auto* machine : job.machines) {
    if (lease_over(*machine)) continue;
    for (const auto& [name, held] : machine->tasks) {
      const auto other = *wire::parse_task(name);
      const bool there = held.state != wire::TaskState::exited &&
                         held.state != wire::TaskState::fetching && other.job == task.job;
      if (there) others.push_back({other.job, machine->id, other.index, machine->kind, true});
    }
  }
  rules_.on_task_started({task.job, worker.id, task.index, worker.kind, true}, others,
                         reactor_.now());
  job.machines.insert(&worker);
  Counts& counts = counts_[job.plan->spec.job_class];
  ++counts.task_starts;
  counts.start_s.push_back(now() - job.submitted_at);
  ++starts_by_second_[static_cast<int>(now())];
  if (job.plan->spec.kind != wire::JobKind::gang) return true;
  const auto attempt = worker.tasks.at(wire::to_string(task)).attempt;
  job.gathered[attempt].insert(task.index);
  return false;
}

bool Run::is_gang_ready(const wire::TaskName& task, std::uint64_t attempt) const {
  const Job& job = jobs_.at(task.job);
  const auto gathered = job.gathered.find(attempt);
  return gathered != job.gathered.end() && gathered->second.size() == job.plan->spec.tasks;
}

void Run::check_rules() {
  std::vector<testing::HeldTask> held;
  for (const auto& region : regions_) {
    region->each_worker([&](const testing::WorkerStandIn& worker) {
      if (lease_over(worker)) return;
      for (const auto& [name, task] : worker.tasks) {
        if (task.state == wire::TaskState::exited) continue;
        const auto which = *wire::parse_task(name);
        held.push_back({which.job, worker.id, which.index, worker.kind,
                        task.state != wire::TaskState::fetching});
      }
    });
  }
  running_ = held.size();
  max_running_ = std::max(max_running_, running_);
  rules_.check_held_tasks(held, reactor_.now());
}

Task<void> Run::watch_fleet() {
  for (;;) {
    check_rules();
    if (::isatty(STDERR_FILENO) != 0) show_progress();
    Sleep pause(reactor_, 1);
    co_await pause;
  }
}

void Run::show_progress() const {
  const auto second = starts_by_second_.find(static_cast<int>(now()) - 1);
  std::cerr << "\r" << static_cast<int>(now()) << " s of "
            << static_cast<int>(plan_.settle_s + plan_.duration_s + plan_.drain_s) << ": "
            << running_ << " tasks, " << (second == starts_by_second_.end() ? 0 : second->second)
            << " starts a second, " << jobs_.size() << " jobs, " << rules_.violations.size()
            << " rules broken   " << std::flush;
}

// ---- faults: add further kinds here and in FaultPlan ----

Task<void> Run::play_fault(const FaultPlan& fault) {
  Sleep until(reactor_, plan_.settle_s + fault.at_s);
  co_await until;
  const auto set = [&](bool on) {
    switch (fault.kind) {
      case FaultPlan::Kind::region_apart:
        return controllers_.set_apart(fault.region, on);
      case FaultPlan::Kind::controller_crash:
        return on ? controllers_.crash(fault.region) : controllers_.restart(fault.region);
      case FaultPlan::Kind::state_down:
        for (const auto& region : regions_) {
          if (region->plan().name == fault.region) region->set_state_down(on);
        }
    }
  };
  set(true);
  if (fault.kind == FaultPlan::Kind::controller_crash) scope_.spawn(time_takeover(fault.region));
  Sleep during(reactor_, fault.for_s);
  co_await during;
  set(false);
  ++faults_played_;
}

Task<void> Run::time_takeover(std::string region) {
  constexpr double kPoll = 0.02;
  const double crashed = now();
  const auto before = controllers_.serving_fencing_token(region);
  while (controllers_.serving_fencing_token(region) == before) {
    Sleep pause(reactor_, kPoll);
    co_await pause;
  }
  takeover_s_.push_back(now() - crashed);
}

}  // namespace cranklock::lab
