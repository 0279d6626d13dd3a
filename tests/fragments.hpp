// A small fleet whose free room is in pieces, around controllers that carry out moves.
#pragma once

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

#include "control/move_service.hpp"
#include "control/record_keys.hpp"
#include "defrag/move_plan.hpp"
#include "defrag/plan_check.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {
inline constexpr const char* kShort = "j-000001";  ///< array whose tasks end and leave pieces
inline constexpr const char* kSmall = "j-000002";  ///< array whose tasks stand in the way
inline constexpr const char* kLarge = "j-000003";  ///< gang of whole machines
inline constexpr double kBoot = 45;                ///< of fixtures.hpp's machines

inline base::Settings settings_with_moves() {
  base::Settings settings = small_settings();
  settings.teams = {{"red", 0, 0, 64, 64}, {"blue", 0, 0, 64, 64}};
  settings.operators.defrag.moves = true;
  return settings;
}

inline wire::JobSpec array_of(const std::string& id, std::uint32_t tasks, double gpus) {
  auto spec = make_job(id, wire::JobKind::job_array, tasks, gpus).spec;
  spec.checkpoint_interval_s = 1;
  spec.checkpoint_save_s = 1;
  return spec;
}

/// Four machines of eight GPUs, each left with a task of three GPUs that saves; the cloud has no
/// more, so a gang of two whole machines finds room by moves alone.
class Fragments {
 public:
  TestCluster w;

  explicit Fragments(base::Settings settings = settings_with_moves(), int nodes = 3,
                     const wire::JobSpec& small = small_spec())
      : w(nodes, {}, std::move(settings)) {
    w.cloud_without_capacity = true;
    w.run_s = 1e6;
    for (int task = 0; task < 4; ++task)
      w.run_s_by_task[std::string(kShort) + "/" + std::to_string(task)] = 8;
    for (int i = 0; i < 4; ++i) w.add_worker();
    w.run(2);
    auto passing = array_of(kShort, 4, 5);
    passing.team = "blue";
    w.submit(0, passing);
    w.run(4);
    w.submit(0, small);
    w.run(16);
  }
  static wire::JobSpec small_spec() { return array_of(kSmall, 4, 3); }
  static wire::JobSpec large_spec(const std::string& id = kLarge) {
    return make_job(id, wire::JobKind::gang, 2, 8).spec;
  }

  void ask_for_large() {
    ASSERT_EQ(w.running_tasks(kSmall), 4);
    ASSERT_EQ(w.live_tasks(kShort), 0);
    w.submit(1, large_spec());
  }
  std::optional<defrag::MoveRecord> record() const {
    const auto stored = w.state_service.values.find(control::kMovesKey);
    if (stored == w.state_service.values.end()) return std::nullopt;
    return defrag::read_move_record(stored->second.data);
  }
  bool has_plan() const {
    const auto stored = record();
    return stored && stored->plan;
  }
  int moves_begun() const {
    const auto stored = record();
    return stored ? static_cast<int>(stored->past.size()) : 0;
  }
  /// Runs in small steps until it holds.
  bool until(double timeout_s, const std::function<bool()>& holds) {
    for (double passed = 0; passed < timeout_s && !holds(); passed += kLook) {
      w.run(kLook);
      look();
    }
    return holds();
  }
  void run(double seconds) {
    until(seconds, [] { return false; });
  }
  bool reach_plan() {
    return until(2 * kBoot, [&] { return has_plan(); });
  }
  /// Asks for the large job, and runs for so long since its plan was stored.
  bool run_into_plan(double seconds) {
    ask_for_large();
    if (!reach_plan()) return false;
    run(seconds);
    return true;
  }
  /// Whether the large job and all that was moved run in the end, and nothing is held.
  bool recovers() {
    return until(longest() + 2 * kBoot, [this] { return large_runs() && is_settled(); });
  }
  bool large_runs(const std::string& id = kLarge) { return w.running_tasks(id) == 2; }
  bool reservations_held() {
    const int node = rightful_leader();
    return node >= 0 && !w.term(node)->cluster().reservations().empty();
  }
  /// The node whose fencing token stands in the state service, or -1: another may believe that it
  /// leads.
  int rightful_leader() {
    const auto key = w.state_service.values.find(control::kLeaderKey);
    for (int node = 0; node < w.nodes(); ++node) {
      auto* term = w.term(node);
      const bool leads = term != nullptr && key != w.state_service.values.end() &&
                         term->cluster().fencing_token() == key->second.revision;
      if (leads) return node;
    }
    return -1;
  }
  /// Nothing is planned, held or under way any more, and all small tasks run.
  bool is_settled() { return !has_plan() && !reservations_held() && w.running_tasks(kSmall) == 4; }
  /// The bound on a plan's life, and what nodes need to notice it.
  double longest() const {
    return defrag::max_plan_s(w.base_settings) + 2 * w.base_settings.lease_s;
  }

 private:
  static constexpr double kLook = 0.01;

  // What holds at every moment: room is held by a stored plan alone, and what a plan has stopped
  // was written down before.
  void look() {
    const auto stored = record();
    const bool planned = stored && stored->plan;
    EXPECT_TRUE(planned || !reservations_held()) << "room is held without a plan";
    if (planned) last_plan_ = *stored->plan;
    if (!last_plan_) return;
    for (const auto& move : last_plan_->moves) {
      if (move.step != defrag::MoveStep::reserved || !planned) continue;
      if (w.rules.cancelled_at(move.task.job) >= 0) continue;  // stopped for its user
      const auto& source = *w.workers.at(move.source);
      const auto task = source.tasks.find(wire::to_string(move.task));
      const bool stopped = task != source.tasks.end() && task->second.attempt == move.attempt &&
                           task->second.exit_reason == wire::ExitReason::stopped;
      EXPECT_FALSE(stopped) << "stopped before it was stored: " << wire::to_string(move.task);
    }
  }
  std::optional<defrag::MovePlan> last_plan_;
};

}  // namespace cranklock::testing
