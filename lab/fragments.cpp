#include "lab/fragments.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {
/// Keeps a job's stored record well below the state service's size limit of a value.
constexpr int kTasksPerJob = 400;
constexpr double kPollIntervalS = 0.1;
}  // namespace

FragmentationScenario::FragmentationScenario(net::EvReactor& reactor, const LabPlan& plan,
                                             Region& region, Controllers& controllers, Host host,
                                             unsigned seed)
    : reactor_(reactor),
      plan_(plan),
      scenario_plan_(*plan.fragments),
      region_(region),
      controllers_(controllers),
      host_(std::move(host)),
      chats_(reactor, *plan.fragments, region, seed) {}

bool FragmentationScenario::start(net::Scope& scope) {
  if (!chats_.start(scope)) return false;
  scope_.spawn(run_scenario());
  scope_.spawn(measure_machine_seconds());
  return true;
}

// ---- jobs ----

ClassPlan FragmentationScenario::filler_class(int tasks) const {
  ClassPlan plan;
  plan.spec.job_class = "filler";
  plan.spec.kind = wire::JobKind::job_array;
  plan.spec.tasks = static_cast<std::uint32_t>(tasks);
  const double gpus = plan_.worker_gpus - scenario_plan_.piece_gpus;
  plan.spec.resources = {gpus, gpus, 8 * gpus};
  plan.spec.estimate_s = scenario_plan_.filler_run_s;
  plan.spec.image = "img-filler";
  plan.spec.image_gb = 1;
  return plan;
}

ClassPlan FragmentationScenario::replica_class(int tasks) const {
  ClassPlan plan = filler_class(tasks);
  plan.spec.job_class = "replica";
  plan.spec.kind = wire::JobKind::service;
  plan.spec.priority = wire::Priority::high;
  plan.spec.resources = {scenario_plan_.piece_gpus, scenario_plan_.piece_gpus,
                         8 * scenario_plan_.piece_gpus};
  plan.spec.image = "img-replica";
  return plan;
}

ClassPlan FragmentationScenario::demand_class() const {
  ClassPlan plan = filler_class(scenario_plan_.demand_tasks);
  plan.spec.job_class = "demand";
  plan.spec.kind = wire::JobKind::gang;
  plan.spec.priority = wire::Priority::high;
  plan.spec.resources = {plan_.worker_gpus, plan_.worker_gpus, 8 * plan_.worker_gpus};
  plan.spec.estimate_s = 3600;
  plan.spec.image = "img-demand";
  return plan;
}

int FragmentationScenario::count_running_tasks(const std::vector<std::string>& jobs) const {
  int count = 0;
  region_.for_each_worker([&](const testing::WorkerStandIn& worker) {
    for (const auto& [name, held] : worker.tasks) {
      const auto job = wire::parse_task(name)->job;
      const bool counts = std::find(jobs.begin(), jobs.end(), job) != jobs.end();
      count += counts && held.state == wire::TaskState::running ? 1 : 0;
    }
  });
  return count;
}

bool FragmentationScenario::is_demand_running() const {
  return count_running_tasks({demand_job_}) == scenario_plan_.demand_tasks;
}

// ---- scenario ----

Task<bool> FragmentationScenario::wait_until(std::function<bool()> condition, double timeout_s) {
  const double until = reactor_.now() + timeout_s;
  while (!condition() && reactor_.now() < until) {
    Sleep pause(reactor_, kPollIntervalS);
    co_await pause;
  }
  co_return condition();
}

Task<void> FragmentationScenario::run_scenario() {
  Sleep settle(reactor_, plan_.settle_s);
  co_await settle;
  const int workers = region_.plan().workers;
  std::vector<std::string> filler_jobs;
  // Fillers start first. Each leaves piece_gpus of its worker free, the size of a replica.
  for (int tasks_left = workers; tasks_left > 0; tasks_left -= kTasksPerJob) {
    filler_jobs.push_back(
        host_.submit(classes_.emplace_back(filler_class(std::min(tasks_left, kTasksPerJob)))));
  }
  auto filling =
      wait_until([&] { return count_running_tasks(filler_jobs) == workers; }, plan_.duration_s);
  const bool all_filled = co_await filling;
  for (int tasks_left = workers; tasks_left > 0; tasks_left -= scenario_plan_.replicas_per_job) {
    const int tasks = std::min(tasks_left, scenario_plan_.replicas_per_job);
    service_jobs_.push_back(host_.submit(classes_.emplace_back(replica_class(tasks))));
  }
  auto preparing = wait_until(
      [&] {
        return count_running_tasks(service_jobs_) == workers &&
               count_running_tasks(filler_jobs) == 0;
      },
      plan_.duration_s);
  const bool only_replicas_left = co_await preparing;
  is_fragmented_ = all_filled && only_replicas_left;
  if (!is_fragmented_) {
    host_.finish();
    co_return;
  }
  chats_.start_traffic(service_jobs_, scope_);
  Sleep chatting(reactor_, scenario_plan_.demand_after_s);
  co_await chatting;
  demand_job_ = host_.submit(classes_.emplace_back(demand_class()));
  demand_submitted_at_ = reactor_.now();
  if (scenario_plan_.kill_leader) scope_.spawn(kill_leader());
  auto placing = wait_until([this] { return is_demand_running(); }, plan_.duration_s);
  demand_placed_ = co_await placing;
  demand_wait_s_ = reactor_.now() - demand_submitted_at_;
  // Waits until the moved replicas run again, and then continues the chats for demand_after_s.
  auto restoring =
      wait_until([&] { return count_running_tasks(service_jobs_) == workers; }, plan_.drain_s);
  co_await restoring;
  Sleep chatting_after(reactor_, scenario_plan_.demand_after_s);
  co_await chatting_after;
  host_.finish();
}

// Kills the leader kill_after_s after the first plan began, and restarts it lease_s later. Does
// nothing if no plan begins within duration_s.
Task<void> FragmentationScenario::kill_leader() {
  const auto& name = region_.plan().name;
  auto waiting =
      wait_until([&] { return controllers_.move_counts(name).plans_begun > 0; }, plan_.duration_s);
  if (!co_await waiting) co_return;
  Sleep delaying(reactor_, scenario_plan_.kill_after_s);
  co_await delaying;
  controllers_.crash_leader(name);
  leader_killed_ = true;
  Sleep outage(reactor_, plan_.lease_s);
  co_await outage;
  controllers_.restart_stopped(name);
}

Task<void> FragmentationScenario::measure_machine_seconds() {
  constexpr double kIntervalS = 0.5;
  for (;;) {
    Sleep pause(reactor_, kIntervalS);
    co_await pause;
    machine_seconds_ += kIntervalS * region_.workers();
  }
}

// ---- the report ----

std::string FragmentationScenario::failure_reason() const {
  if (!is_fragmented_) return "the fleet did not come to be in pieces";
  if (chats_.dropped() > 0) {
    return fmt::format("{} requests were dropped, the first: {}", chats_.dropped(),
                       chats_.first_drop_reason());
  }
  if (scenario_plan_.moves && !demand_placed_) return "the gang was not placed";
  if (!scenario_plan_.moves && demand_placed_) return "the gang was placed without moves";
  if (scenario_plan_.moves && scenario_plan_.kill_leader && !leader_killed_) {
    return "the leader was not killed: no plan began";
  }
  return "";
}

void FragmentationScenario::report(wire::JsonWriter& w) const {
  const auto moves = controllers_.move_counts(region_.plan().name);
  w.key("moves_on").flag(scenario_plan_.moves).key("workers").integer(region_.plan().workers);
  w.key("demand_placed").flag(demand_placed_).key("demand_wait_s").amount(demand_wait_s_);
  w.key("moves_done").integer(moves.done).key("moves_dropped").integer(moves.dropped);
  w.key("plans_begun").integer(moves.plans_begun);
  w.key("leader_killed").flag(leader_killed_);
  w.key("chat_requests").integer(chats_.requests());
  w.key("chat_requests_dropped").integer(chats_.dropped());
  w.key("chat_requests_slowest_s").amount(chats_.slowest_s());
  w.key("chats_carried_over").integer(chats_.carried_over());
  w.key("chats_in_progress_at_end").integer(chats_.in_progress());
  w.key("drains_asked").integer(chats_.drains_asked());
  w.key("machine_seconds").amount(machine_seconds_);
}

std::string FragmentationScenario::summary() const {
  const auto moves = controllers_.move_counts(region_.plan().name);
  return fmt::format(
      "gang of {} whole machines {} after {:.1f} s, {} moves done, {} dropped; {} "
      "chat requests, {} dropped, {} chats carried over",
      scenario_plan_.demand_tasks, demand_placed_ ? "placed" : "not placed", demand_wait_s_,
      moves.done, moves.dropped, chats_.requests(), chats_.dropped(), chats_.carried_over());
}

}  // namespace cranklock::lab
