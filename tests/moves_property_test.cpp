// Random fleets and faults around plans of moves on the in-memory cluster: controllers that end,
// stand still or lose the state service, writes without answers, machines that hang or die, jobs
// that come and are cancelled.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "fragments.hpp"

namespace cranklock::testing {
namespace {

enum class Action {
  wait,
  crash_leader,
  stop_leader,
  wake_nodes,
  start_nodes,
  refuse_leader,
  state_down,
  serve_state,
  lose_answers,
  late_writes,
  prompt_writes,
  hang_machine,
  kill_machine,
  wake_machines,
  late_heartbeats,
  submit_small,
  submit_large,
  cancel_job,
  end_task,
  count
};

struct Step {
  Action action;
  unsigned detail;
  unsigned pause_ms;
};

std::ostream& operator<<(std::ostream& out, const Step& step) {
  return out << static_cast<int>(step.action) << ":" << step.detail << ":" << step.pause_ms;
}

rc::Gen<Step> any_step() {
  return rc::gen::construct<Step>(
      rc::gen::map(rc::gen::inRange(0, static_cast<int>(Action::count)),
                   [](int action) { return static_cast<Action>(action); }),
      rc::gen::inRange(0U, 1000U), rc::gen::inRange(0U, 3000U));
}

class RandomRun {
 public:
  explicit RandomRun(unsigned seed) {
    fragments_.w.random.seed(seed);
    fragments_.w.submit(0, Fragments::large_spec());
    fragments_.run(kBoot - 1);
  }

  void take(const Step& step) {
    auto& w = fragments_.w;
    const int leader = w.leader();
    switch (step.action) {
      case Action::wait:
      case Action::count:
        break;
      case Action::crash_leader:
        if (leader >= 0) w.crash_node(leader);
        break;
      case Action::stop_leader:
        if (leader >= 0) w.pause_node(leader);
        break;
      case Action::wake_nodes:
        each_node([&](int node) {
          if (w.is_paused(node)) w.resume_node(node);
        });
        break;
      case Action::start_nodes:
        each_node([&](int node) {
          if (!w.is_up(node)) w.start_node(node);
        });
        break;
      case Action::refuse_leader:
        w.refused_by_state = {leader};
        break;
      case Action::state_down:
        w.state_down = true;
        break;
      case Action::serve_state:
        w.refused_by_state.clear();
        w.state_down = false;
        break;
      case Action::lose_answers:
        w.lost_write_response_share = 0.5;
        break;
      case Action::late_writes:
        w.late_write_share = 0.5;
        break;
      case Action::prompt_writes:
        w.lost_write_response_share = w.late_write_share = 0;
        break;
      case Action::hang_machine:
        if (machines_in_trouble() < kMaxInTrouble) machine(step.detail).is_hung = true;
        break;
      case Action::kill_machine:
        if (machines_in_trouble() < kMaxInTrouble) kill(machine(step.detail));
        break;
      case Action::wake_machines:
        for (auto& [id, worker] : w.workers) w.resume_worker(*worker);
        break;
      case Action::late_heartbeats:
        w.late_heartbeat_share = 0.5;
        break;
      case Action::submit_small:
        w.add_user(array_of(next_id(), 1 + step.detail % 2, 1 + step.detail % 5), habits(step));
        break;
      case Action::submit_large:
        w.add_user(Fragments::large_spec(next_id()), habits(step));
        break;
      case Action::cancel_job:
        w.add_user(step.detail % 2 == 0 ? Fragments::small_spec() : Fragments::large_spec(),
                   UserBehavior{0, false, false});
        break;
      case Action::end_task:
        w.run_s_by_task[std::string(kSmall) + "/" + std::to_string(step.detail % 4)] = 0;
        break;
    }
    run(step.pause_ms / 1000.0);
  }

  /// The most moves that stood in a record.
  std::size_t max_moves() const { return max_moves_; }

  /// All faults are over: no plan outlives its bound, and no room stays held.
  void heal() {
    for (const auto action : {Action::wake_nodes, Action::start_nodes, Action::serve_state,
                              Action::prompt_writes, Action::wake_machines}) {
      take({action, 0, 0});
    }
    fragments_.w.late_heartbeat_share = 0;
    run(fragments_.longest());
    // A plan that stands now was begun since.
    const auto record = fragments_.record();
    const bool planned = record && record->plan;
    RC_ASSERT(planned || !fragments_.reservations_held());
  }

 private:
  static constexpr int kMaxInTrouble = 1;
  template <typename Visit>
  void each_node(Visit visit) {
    for (int node = 0; node < fragments_.w.nodes(); ++node) visit(node);
  }
  TestCluster::Worker& machine(unsigned detail) {
    auto machine = fragments_.w.workers.begin();
    std::advance(machine, detail % fragments_.w.workers.size());
    return *machine->second;
  }
  int machines_in_trouble() const {
    int troubled = 0;
    for (const auto& [id, worker] : fragments_.w.workers) troubled += worker->is_hung ? 1 : 0;
    return troubled;
  }
  static void kill(TestCluster::Worker& worker) {
    worker.is_deleted = worker.is_hung = true;
    worker.tasks.clear();
  }
  static UserBehavior habits(const Step& step) {
    return UserBehavior{step.detail % 3 == 0 ? 0.01 * step.detail : -1, false, false};
  }
  std::string next_id() { return job_id(++jobs_); }

  void run(double seconds) {
    constexpr double kLook = 0.05;
    for (double passed = 0; passed < seconds; passed += kLook) {
      fragments_.run(kLook);
      look();
    }
  }
  void look() {
    auto& w = fragments_.w;
    RC_ASSERT(w.duplicate_starts == 0);
    RC_ASSERT(w.rules.violations.empty());
    const auto record = fragments_.record();
    if (!record) return;
    max_moves_ = std::max(max_moves_, record->past.size());
    check_budgets(*record);
    if (record->plan) check_age(*record->plan);
    check_machines();
  }
  // The moves of a job in any hour, of which these runs are a part.
  void check_budgets(const defrag::MoveRecord& record) {
    const defrag::MoveBudgetSettings settings;
    std::map<std::string, std::size_t> moves;
    for (const auto& move : record.past) {
      RC_ASSERT(++moves[move.job] <= settings.moves_per_job_and_hour);
    }
  }
  // Whoever leads and hears the state service ends a plan in time.
  void check_age(const defrag::MovePlan& plan) {
    auto& w = fragments_.w;
    const bool served = !w.state_down && w.refused_by_state.empty() &&
                        w.late_write_share + w.lost_write_response_share == 0;
    served_since_ = served && w.leader() >= 0 ? served_since_ : w.reactor.now();
    const double age_s = static_cast<double>(w.reactor.wall_ms() - plan.begun_ms) / 1000;
    const double served_s = w.reactor.now() - served_since_;
    RC_ASSERT(age_s < fragments_.longest() || served_s < 2 * w.base_settings.lease_s);
  }
  // No room is given twice: what the leader counts on a machine fits it, held room included.
  void check_machines() {
    const int leader = fragments_.rightful_leader();
    if (leader < 0) return;
    const auto& cluster = fragments_.w.term(leader)->cluster();
    for (const auto& [id, machine] : fragments_.w.term(leader)->cluster().machines()) {
      const auto* type = cluster.type(machine.kind.type);
      if (type != nullptr) RC_ASSERT(machine.allocated.fits_in(type->resources));
    }
  }

  Fragments fragments_;
  double served_since_ = 0;
  int jobs_ = 0;
  std::size_t max_moves_ = 0;
};

RC_GTEST_PROP(MovesProperty, NoRuleBreaksAndNoRoomStaysHeld, (unsigned seed)) {
  const auto steps = *rc::gen::resize(25, rc::gen::container<std::vector<Step>>(any_step()));
  RandomRun run(seed);
  for (const auto& step : steps) run.take(step);
  run.heal();
  RC_CLASSIFY(run.max_moves() > 0, "a task was moved");
}

}  // namespace
}  // namespace cranklock::testing
