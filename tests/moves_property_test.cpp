// Checks moves on the in-memory cluster under random sequences of faults and user actions:
// controllers crash, pause or lose the state service, writes are late or get no response, machines
// hang or crash, heartbeats are delivered a second time, and jobs are submitted and cancelled.
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
  pause_leader,
  resume_nodes,
  start_nodes,
  refuse_leader,
  state_down,
  restore_store,
  lose_answers,
  late_writes,
  restore_writes,
  hang_machine,
  kill_machine,
  resume_machines,
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
    fragments_.cluster.random.seed(seed);
    fragments_.cluster.submit(0, Fragments::large_spec());
    fragments_.run(kBootS - 1);
  }

  void apply(const Step& step) {
    auto& cluster = fragments_.cluster;
    const int leader = cluster.leader();
    switch (step.action) {
      case Action::wait:
      case Action::count:
        break;
      case Action::crash_leader:
        if (leader >= 0) cluster.crash_node(leader);
        break;
      case Action::pause_leader:
        if (leader >= 0) cluster.pause_node(leader);
        break;
      case Action::resume_nodes:
        for_each_node([&](int node) {
          if (cluster.is_paused(node)) cluster.resume_node(node);
        });
        break;
      case Action::start_nodes:
        for_each_node([&](int node) {
          if (!cluster.is_up(node)) cluster.start_node(node);
        });
        break;
      case Action::refuse_leader:
        cluster.refused_by_state = {leader};
        break;
      case Action::state_down:
        cluster.state_down = true;
        break;
      case Action::restore_store:
        cluster.refused_by_state.clear();
        cluster.state_down = false;
        break;
      case Action::lose_answers:
        cluster.lost_write_response_share = 0.5;
        break;
      case Action::late_writes:
        cluster.late_write_share = 0.5;
        break;
      case Action::restore_writes:
        cluster.lost_write_response_share = cluster.late_write_share = 0;
        break;
      case Action::hang_machine:
        if (faulty_machines() < kMaxFaultyMachines) machine(step.detail).is_hung = true;
        break;
      case Action::kill_machine:
        if (faulty_machines() < kMaxFaultyMachines) kill(machine(step.detail));
        break;
      case Action::resume_machines:
        for (auto& [id, worker] : cluster.workers) cluster.resume_worker(*worker);
        break;
      case Action::late_heartbeats:
        cluster.late_heartbeat_share = 0.5;
        break;
      case Action::submit_small:
        cluster.add_user(array_of(next_id(), 1 + step.detail % 2, 1 + step.detail % 5),
                         user_behavior(step));
        break;
      case Action::submit_large:
        cluster.add_user(Fragments::large_spec(next_id()), user_behavior(step));
        break;
      case Action::cancel_job:
        cluster.add_user(step.detail % 2 == 0 ? Fragments::small_spec() : Fragments::large_spec(),
                         UserBehavior{0, false, false});
        break;
      case Action::end_task:
        cluster.run_s_by_task[std::string(kSmallJob) + "/" + std::to_string(step.detail % 4)] = 0;
        break;
    }
    run(step.pause_ms / 1000.0);
  }

  /// The largest number of past moves that a record has held.
  std::size_t max_moves() const { return max_moves_; }

  /// Clears all faults and checks that no plan exceeds its maximum duration and no reservations
  /// remain.
  void clear_faults_and_check() {
    for (const auto action : {Action::resume_nodes, Action::start_nodes, Action::restore_store,
                              Action::restore_writes, Action::resume_machines}) {
      apply({action, 0, 0});
    }
    fragments_.cluster.late_heartbeat_share = 0;
    run(fragments_.max_plan_time_s());
    // A plan that exists now was begun after the faults were cleared.
    const auto record = fragments_.record();
    const bool has_plan = record && record->plan;
    RC_ASSERT(has_plan || !fragments_.has_reservations());
  }

 private:
  static constexpr int kMaxFaultyMachines = 1;
  template <typename Visit>
  void for_each_node(Visit visit) {
    for (int node = 0; node < fragments_.cluster.nodes(); ++node) visit(node);
  }
  TestCluster::Worker& machine(unsigned detail) {
    auto machine = fragments_.cluster.workers.begin();
    std::advance(machine, detail % fragments_.cluster.workers.size());
    return *machine->second;
  }
  int faulty_machines() const {
    int faulty = 0;
    for (const auto& [id, worker] : fragments_.cluster.workers) faulty += worker->is_hung ? 1 : 0;
    return faulty;
  }
  static void kill(TestCluster::Worker& worker) {
    worker.is_deleted = worker.is_hung = true;
    worker.tasks.clear();
  }
  static UserBehavior user_behavior(const Step& step) {
    return UserBehavior{step.detail % 3 == 0 ? 0.01 * step.detail : -1, false, false};
  }
  std::string next_id() { return job_id(++submitted_jobs_); }

  void run(double seconds) {
    constexpr double kCheckIntervalS = 0.05;
    for (double passed = 0; passed < seconds; passed += kCheckIntervalS) {
      fragments_.run(kCheckIntervalS);
      check_invariants();
    }
  }
  void check_invariants() {
    auto& cluster = fragments_.cluster;
    RC_ASSERT(cluster.duplicate_starts == 0);
    RC_ASSERT(cluster.rules.violations.empty());
    const auto record = fragments_.record();
    if (!record) return;
    max_moves_ = std::max(max_moves_, record->past.size());
    check_budgets(*record);
    if (record->plan) check_age(*record->plan);
    check_machines();
  }
  // Moves per job in any hour; a run takes less than an hour.
  void check_budgets(const defrag::MoveRecord& record) {
    const defrag::MoveBudgetSettings settings;
    std::map<std::string, std::size_t> moves;
    for (const auto& move : record.past) {
      RC_ASSERT(++moves[move.job] <= settings.max_moves_per_job_per_hour);
    }
  }
  // A leader that reaches the state service ends a plan in time.
  void check_age(const defrag::MovePlan& plan) {
    auto& cluster = fragments_.cluster;
    const bool store_available = !cluster.state_down && cluster.refused_by_state.empty() &&
                                 cluster.late_write_share + cluster.lost_write_response_share == 0;
    store_available_since_ =
        store_available && cluster.leader() >= 0 ? store_available_since_ : cluster.reactor.now();
    const double age_s = static_cast<double>(cluster.reactor.wall_ms() - plan.begun_ms) / 1000;
    const double store_available_s = cluster.reactor.now() - store_available_since_;
    RC_ASSERT(age_s < fragments_.max_plan_time_s() ||
              store_available_s < 2 * cluster.base_settings.lease_s);
  }
  // No capacity is allocated twice: the resources that the leader has allocated to tasks on a
  // machine do not exceed the machine's. Reservations are not part of the sum.
  void check_machines() {
    const int leader = fragments_.rightful_leader();
    if (leader < 0) return;
    const auto& state = fragments_.cluster.term(leader)->cluster();
    for (const auto& [id, machine] : fragments_.cluster.term(leader)->cluster().machines()) {
      const auto* type = state.type(machine.kind.type);
      if (type != nullptr) RC_ASSERT(machine.allocated.fits_in(type->resources));
    }
  }

  Fragments fragments_;
  double store_available_since_ = 0;
  int submitted_jobs_ = 0;
  std::size_t max_moves_ = 0;
};

RC_GTEST_PROP(MovesProperty, NoInvariantBreaksAndNoReservationsRemain, (unsigned seed)) {
  const auto steps = *rc::gen::resize(25, rc::gen::container<std::vector<Step>>(any_step()));
  RandomRun run(seed);
  for (const auto& step : steps) run.apply(step);
  run.clear_faults_and_check();
  RC_CLASSIFY(run.max_moves() > 0, "a task was moved");
}

}  // namespace
}  // namespace cranklock::testing
