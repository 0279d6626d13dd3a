#include "lab/fragments.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace cranklock::lab {

using net::Sleep;
using net::Task;

namespace {
constexpr int kTasksPerJob = 400;  ///< what one record holds with ease
constexpr double kPoll = 0.1;
}  // namespace

Fragments::Fragments(net::EvReactor& reactor, const LabPlan& plan, Region& region,
                     Controllers& controllers, Host host, unsigned seed)
    : reactor_(reactor),
      plan_(plan),
      fragments_(*plan.fragments),
      region_(region),
      controllers_(controllers),
      host_(std::move(host)),
      chats_(reactor, *plan.fragments, region, seed) {}

bool Fragments::start(net::Scope& scope) {
  if (!chats_.start(scope)) return false;
  scope_.spawn(play());
  scope_.spawn(measure());
  return true;
}

// ---- jobs ----

ClassPlan Fragments::filler(int tasks) const {
  ClassPlan plan;
  plan.spec.job_class = "filler";
  plan.spec.kind = wire::JobKind::job_array;
  plan.spec.tasks = static_cast<std::uint32_t>(tasks);
  const double gpus = plan_.worker_gpus - fragments_.piece_gpus;
  plan.spec.resources = {gpus, gpus, 8 * gpus};
  plan.spec.estimate_s = fragments_.filler_run_s;
  plan.spec.image = "img-filler";
  plan.spec.image_gb = 1;
  return plan;
}

ClassPlan Fragments::replicas(int tasks) const {
  ClassPlan plan = filler(tasks);
  plan.spec.job_class = "replica";
  plan.spec.kind = wire::JobKind::service;
  plan.spec.priority = wire::Priority::high;
  plan.spec.resources = {fragments_.piece_gpus, fragments_.piece_gpus, 8 * fragments_.piece_gpus};
  plan.spec.image = "img-replica";
  return plan;
}

ClassPlan Fragments::demand() const {
  ClassPlan plan = filler(fragments_.demand_tasks);
  plan.spec.job_class = "demand";
  plan.spec.kind = wire::JobKind::gang;
  plan.spec.priority = wire::Priority::high;
  plan.spec.resources = {plan_.worker_gpus, plan_.worker_gpus, 8 * plan_.worker_gpus};
  plan.spec.estimate_s = 3600;
  plan.spec.image = "img-demand";
  return plan;
}

int Fragments::running(const std::vector<std::string>& jobs) const {
  int count = 0;
  region_.each_worker([&](const testing::WorkerStandIn& worker) {
    for (const auto& [name, held] : worker.tasks) {
      const auto job = wire::parse_task(name)->job;
      const bool counts = std::find(jobs.begin(), jobs.end(), job) != jobs.end();
      count += counts && held.state == wire::TaskState::running ? 1 : 0;
    }
  });
  return count;
}

bool Fragments::is_demand_running() const {
  return running({demand_job_}) == fragments_.demand_tasks;
}

// ---- what is played ----

Task<bool> Fragments::wait_until(std::function<bool()> holds, double timeout_s) {
  const double until = reactor_.now() + timeout_s;
  while (!holds() && reactor_.now() < until) {
    Sleep pause(reactor_, kPoll);
    co_await pause;
  }
  co_return holds();
}

Task<void> Fragments::play() {
  Sleep settle(reactor_, plan_.settle_s);
  co_await settle;
  const int workers = region_.plan().workers;
  std::vector<std::string> fillers;
  // Fillers first: each leaves a piece of its worker, and only a replica fits there.
  for (int left = workers; left > 0; left -= kTasksPerJob) {
    fillers.push_back(host_.submit(classes_.emplace_back(filler(std::min(left, kTasksPerJob)))));
  }
  auto filling = wait_until([&] { return running(fillers) == workers; }, plan_.duration_s);
  const bool filled = co_await filling;
  for (int left = workers; left > 0; left -= fragments_.replicas_per_job) {
    const int tasks = std::min(left, fragments_.replicas_per_job);
    services_.push_back(host_.submit(classes_.emplace_back(replicas(tasks))));
  }
  auto preparing = wait_until(
      [&] { return running(services_) == workers && running(fillers) == 0; }, plan_.duration_s);
  const bool pieces_left = co_await preparing;
  prepared_ = filled && pieces_left;
  if (!prepared_) {
    host_.finish();
    co_return;
  }
  chats_.begin(services_, scope_);
  Sleep chatting(reactor_, fragments_.demand_after_s);
  co_await chatting;
  demand_job_ = host_.submit(classes_.emplace_back(demand()));
  demand_at_ = reactor_.now();
  if (fragments_.kill_leader) scope_.spawn(kill_leader());
  auto placing = wait_until([this] { return is_demand_running(); }, plan_.duration_s);
  demand_placed_ = co_await placing;
  demand_wait_s_ = reactor_.now() - demand_at_;
  // All replicas serve again, and chats go on for a while.
  auto restoring = wait_until([&] { return running(services_) == workers; }, plan_.drain_s);
  co_await restoring;
  Sleep chatting_on(reactor_, fragments_.demand_after_s);
  co_await chatting_on;
  host_.finish();
}

// Ends the leader without warning once its plan has come so far, and starts it again later.
Task<void> Fragments::kill_leader() {
  const auto& name = region_.plan().name;
  auto beginning =
      wait_until([&] { return controllers_.moves(name).plans_begun > 0; }, plan_.duration_s);
  if (!co_await beginning) co_return;
  Sleep midway(reactor_, fragments_.kill_after_s);
  co_await midway;
  controllers_.crash(name);
  leader_killed_ = true;
  Sleep away(reactor_, plan_.lease_s);
  co_await away;
  controllers_.restart(name);
}

Task<void> Fragments::measure() {
  constexpr double kEvery = 0.5;
  for (;;) {
    Sleep pause(reactor_, kEvery);
    co_await pause;
    machine_seconds_ += kEvery * region_.workers();
  }
}

// ---- the report ----

std::string Fragments::fault() const {
  if (!prepared_) return "the fleet did not come to be in pieces";
  if (chats_.dropped() > 0) {
    return fmt::format("{} requests were dropped, the first: {}", chats_.dropped(),
                       chats_.first_drop());
  }
  if (fragments_.moves && !demand_placed_) return "the gang was not placed";
  if (!fragments_.moves && demand_placed_) return "the gang was placed without moves";
  if (fragments_.moves && fragments_.kill_leader && !leader_killed_) {
    return "the leader was not killed: no plan began";
  }
  return "";
}

void Fragments::report(wire::JsonWriter& w) const {
  const auto moves = controllers_.moves(region_.plan().name);
  w.key("moves_on").flag(fragments_.moves).key("workers").integer(region_.plan().workers);
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

std::string Fragments::summary() const {
  const auto moves = controllers_.moves(region_.plan().name);
  return fmt::format(
      "gang of {} whole machines {} after {:.1f} s, {} moves done, {} dropped; {} "
      "chat requests, {} dropped, {} chats carried over",
      fragments_.demand_tasks, demand_placed_ ? "placed" : "not placed", demand_wait_s_, moves.done,
      moves.dropped, chats_.requests(), chats_.dropped(), chats_.carried_over());
}

}  // namespace cranklock::lab
