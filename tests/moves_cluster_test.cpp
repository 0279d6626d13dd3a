// Moves around fragments on the in-memory cluster, through controllers, machines and writes that
// fail. The rule checker of each cluster watches all rules; what a scenario asserts itself is that
// the trouble came about, and what became of the plan.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "fragments.hpp"

namespace cranklock::testing {
namespace {

using defrag::MoveStep;
using wire::JobKind;

TEST(Moves, AGangOfWholeMachinesIsPlacedByMoves) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto plan = *fragments.record()->plan;
  EXPECT_EQ(plan.job, kLarge);
  EXPECT_EQ(plan.moves.size(), 2U);
  EXPECT_EQ(plan.places.size(), 2U);
  // Within less than a boot, which is what waiting would have cost at least.
  EXPECT_TRUE(fragments.until(kBoot, [&] { return fragments.large_runs(); }));
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.is_settled(); }));
  EXPECT_EQ(w.duplicate_starts, 0);
  EXPECT_EQ(fragments.moves_begun(), 2);
}

TEST(Moves, NothingMovesUnlessTheOperatorTurnsItOn) {
  auto settings = settings_with_moves();
  settings.operators.defrag.moves = false;
  Fragments fragments(settings);
  fragments.ask_for_large();
  fragments.w.run(3 * kBoot);
  EXPECT_FALSE(fragments.record());
  EXPECT_FALSE(fragments.large_runs());
  for (const auto& [task, starts] : fragments.w.start_counts) EXPECT_EQ(starts, 1) << task;
}

// ---- controllers that fail ----

/// Moments of a plan that takes about two seconds where nothing fails, and a while after.
std::vector<double> moments(double step_s = 0.1, double last_s = 2.6) {
  std::vector<double> out;
  for (double at = 0; at < last_s; at += step_s) out.push_back(at);
  return out;
}

/// How far a plan has come, as an onlooker sees it: by what is stored and what machines hold.
std::string phase_of(Fragments& fragments) {
  const auto record = fragments.record();
  if (!record || !record->plan) return fragments.large_runs() ? "over" : "none";
  std::string phase;
  for (const auto& move : record->plan->moves) {
    const auto on = [&](const std::string& machine) {
      const auto& tasks = fragments.w.workers.at(machine)->tasks;
      const auto task = tasks.find(wire::to_string(move.task));
      return task != tasks.end() && task->second.state != wire::TaskState::exited;
    };
    phase += on(move.source) ? "source " : on(move.target) ? "target " : "between ";
  }
  return phase;
}

// A plan may be in any state when its leader ends, and its successor may end too. Whatever they
// leave behind, the third goes on or drops it: the gang and all that was moved run, and nothing
// stays reserved.
TEST(Moves, LeadersEndBetweenAnyTwoSteps) {
  std::set<std::string> phases;
  for (const double successor_lives : {0.0, 0.3, 3.4}) {
    for (const double at : moments(successor_lives > 0 ? 0.1 : 0.02, 3.2)) {
      Fragments fragments;
      auto& w = fragments.w;
      w.max_state_delay_s = 0.1;  // so that each step takes its time
      ASSERT_TRUE(fragments.run_into_plan(at));
      phases.insert(phase_of(fragments));
      const int first = w.leader();
      w.crash_node(first);
      if (successor_lives > 0) {
        ASSERT_TRUE(fragments.until(10, [&] { return w.leader() >= 0; }));
        fragments.run(successor_lives);
        const int second = w.leader();
        w.crash_node(second);
        fragments.run(1);
        w.start_node(second);
      }
      w.start_node(first);
      EXPECT_TRUE(fragments.until(fragments.longest() + 2 * kBoot,
                                  [&] { return fragments.large_runs() && fragments.is_settled(); }))
          << "ended at " << at << ", then at " << successor_lives;
      EXPECT_EQ(w.duplicate_starts, 0);
    }
  }
  // The moments were such that all steps were among them.
  for (const char* phase : {"source source ", "between source ", "target source ",
                            "target between ", "target target ", "over"}) {
    EXPECT_TRUE(phases.contains(phase)) << phase;
  }
}

// A leader that stood still wakes with its plan in hand, after another has gone on with it or has
// dropped it since the waiting job was cancelled. Nothing that it believes may come about.
TEST(Moves, ALeaderThatStoodStillWakesWithItsPlan) {
  for (const bool cancelled : {false, true}) {
    for (const double at : moments()) {
      Fragments fragments;
      auto& w = fragments.w;
      ASSERT_TRUE(fragments.run_into_plan(at));
      const int old = w.leader();
      w.pause_node(old);
      ASSERT_TRUE(fragments.until(10, [&] { return w.leader() >= 0; }));
      if (cancelled) w.cancel(w.leader(), kLarge);
      EXPECT_TRUE(fragments.until(fragments.longest(), [&] {
        return fragments.large_runs() == !cancelled && fragments.is_settled();
      })) << at;
      fragments.run(30);
      const auto starts = w.start_counts;
      w.resume_node(old);
      fragments.run(20);
      EXPECT_EQ(w.start_counts, starts) << at;
      EXPECT_TRUE(fragments.is_settled()) << at;
    }
  }
}

// A leader that has lost the state service and its peers keeps its workers for a while, and
// believes that it leads; so does its successor.
TEST(Moves, TwoControllersBelieveThatTheyLead) {
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    ASSERT_TRUE(fragments.run_into_plan(at));
    const int old = w.leader();
    w.cut_from_state = {old};
    w.cut_from_peers = {old};
    fragments.run(40);
    w.cut_from_state.clear();
    w.cut_from_peers.clear();
    EXPECT_TRUE(fragments.recovers()) << at;
    EXPECT_EQ(w.duplicate_starts, 0);
  }
}

TEST(Moves, TheStateServiceIsDownOrRefusesTheLeaderAlone) {
  for (const bool alone : {false, true}) {
    for (const double at : moments()) {
      Fragments fragments;
      auto& w = fragments.w;
      ASSERT_TRUE(fragments.run_into_plan(at));
      const int first = w.leader();
      if (alone) w.refused_by_state = {first};
      w.state_down = !alone;
      fragments.run(15);
      w.refused_by_state.clear();
      w.state_down = false;
      EXPECT_TRUE(fragments.until(fragments.longest() + 2 * kBoot,
                                  [&] { return fragments.large_runs() && fragments.is_settled(); }))
          << at << (alone ? " alone" : "");
    }
  }
}

// The writes of the plan itself are carried out late, after newer ones, or only their answers are
// lost. `Fragments` looks at every moment whether anything was stopped or held before it was
// stored.
TEST(Moves, WritesOfThePlanComeLateOrLoseTheirAnswers) {
  for (const bool late : {false, true}) {
    for (unsigned seed = 1; seed <= 25; ++seed) {
      Fragments fragments;
      auto& w = fragments.w;
      w.random.seed(seed);
      fragments.ask_for_large();
      fragments.run(kBoot - 1);
      (late ? w.late_write_share : w.lost_write_response_share) = 0.6;
      fragments.run(10);
      w.late_write_share = w.lost_write_response_share = 0;
      EXPECT_TRUE(fragments.until(fragments.longest() + 2 * kBoot,
                                  [&] { return fragments.large_runs() && fragments.is_settled(); }))
          << seed << (late ? " late" : " lost");
      EXPECT_EQ(w.duplicate_starts, 0);
    }
  }
}

// The first write of the plan is carried out after its leader has given the plan up.
TEST(Moves, APlanThatIsStoredAfterItWasDroppedHoldsNothing) {
  int stored_late = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Fragments fragments;
    auto& w = fragments.w;
    w.random.seed(seed);
    fragments.ask_for_large();
    fragments.run(kBoot - 1);
    w.late_write_nodes = {w.leader()};
    w.late_write_share = 1;
    fragments.run(2.5);
    ASSERT_FALSE(fragments.record());
    w.cancel((w.leader() + 1) % w.nodes(), kLarge);
    stored_late += fragments.until(15, [&] { return fragments.has_plan(); }) ? 1 : 0;
    w.late_write_share = 0;
    EXPECT_TRUE(fragments.until(20, [&] { return fragments.is_settled(); }));
    fragments.run(20);
    EXPECT_FALSE(fragments.has_plan());
    for (const auto& [task, starts] : w.start_counts) EXPECT_EQ(starts, 1) << task;
  }
  EXPECT_GT(stored_late, 0);
}

// The write of a plan is carried out when its leader has ended: it is conditional on that leader.
TEST(Moves, APlanOfALeaderThatHasEndedIsNotStored) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Fragments fragments;
    auto& w = fragments.w;
    w.random.seed(seed);
    fragments.ask_for_large();
    fragments.run(kBoot - 1);
    const int first = w.leader();
    w.late_write_nodes = {first};
    w.late_write_share = 1;
    fragments.run(2);
    ASSERT_FALSE(fragments.record());
    w.crash_node(first);
    fragments.run(20);
    EXPECT_GE(w.leader(), 0);
    EXPECT_FALSE(fragments.record());
  }
}

// ---- machines that fail ----

enum class Trouble { dies, hangs, deaf, mute, notice };

void make_trouble(TestCluster::Worker& worker, Trouble trouble, bool on) {
  switch (trouble) {
    case Trouble::dies:
      worker.is_deleted = worker.is_hung = true;
      worker.tasks.clear();
      break;
    case Trouble::hangs:
      worker.is_hung = on;
      break;
    case Trouble::deaf:
      worker.cannot_receive = on;
      break;
    case Trouble::mute:
      worker.cannot_send = on;
      break;
    case Trouble::notice:
      if (on) worker.preemption_notice_s = 30;
      break;
  }
}

class MovesMachines : public ::testing::TestWithParam<std::tuple<Trouble, bool>> {};

// A source or a target dies, hangs, hears nothing, is not heard, or is about to be taken.
TEST_P(MovesMachines, EndWithNothingHeldAndNothingLost) {
  const auto [trouble, at_source] = GetParam();
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    fragments.ask_for_large();
    ASSERT_TRUE(fragments.reach_plan());
    const auto move = fragments.record()->plan->moves.front();
    fragments.run(at);
    auto& worker = *w.workers.at(at_source ? move.source : move.target);
    make_trouble(worker, trouble, true);
    fragments.run(25);
    EXPECT_FALSE(fragments.has_plan()) << at;  // long before its bound
    if (trouble == Trouble::hangs && !worker.is_deleted) w.resume_worker(worker);
    if (trouble != Trouble::dies) make_trouble(worker, trouble, false);
    // With a machine less, not all of both fit.
    EXPECT_TRUE(fragments.until(fragments.longest() + kBoot, [&] {
      return !fragments.has_plan() && !fragments.reservations_held() &&
             (w.running_tasks(kSmall) == 4 || fragments.large_runs());
    })) << at;
    EXPECT_EQ(w.duplicate_starts, 0);
  }
}

INSTANTIATE_TEST_SUITE_P(MachineFaults, MovesMachines,
                         ::testing::Combine(::testing::Values(Trouble::dies, Trouble::hangs,
                                                              Trouble::deaf, Trouble::mute,
                                                              Trouble::notice),
                                            ::testing::Bool()));

// Copies of heartbeats that show a task on its source come after it has started on its target, also
// to a leader that has just begun.
TEST(Moves, OldReportsShowMovedTasksOnTheirSources) {
  for (unsigned seed = 1; seed <= 25; ++seed) {
    Fragments fragments;
    auto& w = fragments.w;
    w.random.seed(seed);
    w.late_heartbeat_share = 0.7;
    w.replays_heartbeats = true;
    fragments.ask_for_large();
    ASSERT_TRUE(fragments.reach_plan());
    fragments.run(0.1 * seed);
    const int first = w.leader();
    w.crash_node(first);
    fragments.run(5);
    w.start_node(first);
    EXPECT_TRUE(fragments.recovers()) << seed;
    fragments.run(20);
    EXPECT_EQ(w.duplicate_starts, 0);
    EXPECT_TRUE(fragments.large_runs());
  }
}

// ---- jobs that end, and others that come ----

TEST(Moves, TheWaitingJobIsCancelledMidway) {
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    ASSERT_TRUE(fragments.run_into_plan(at));
    w.cancel(w.leader(), kLarge);
    // Nothing stays reserved, and nothing more is stopped.
    EXPECT_TRUE(fragments.until(1, [&] { return !fragments.reservations_held(); })) << at;
    const int begun = fragments.moves_begun();
    EXPECT_TRUE(fragments.until(10, [&] { return fragments.is_settled(); })) << at;
    EXPECT_EQ(fragments.moves_begun(), begun) << at;
    fragments.run(w.base_settings.cancel_s);
    EXPECT_EQ(w.live_tasks(kLarge), 0);
  }
}

TEST(Moves, TheMovedJobIsCancelledMidway) {
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    ASSERT_TRUE(fragments.run_into_plan(at));
    w.cancel(w.leader(), kSmall);
    // Its end makes the room, too.
    EXPECT_TRUE(fragments.until(10, [&] { return fragments.large_runs(); })) << at;
    EXPECT_TRUE(fragments.until(10, [&] {
      return !fragments.has_plan() && !fragments.reservations_held();
    })) << at;
    fragments.run(w.base_settings.cancel_s);
    EXPECT_EQ(w.live_tasks(kSmall), 0);
  }
}

// Urgent work comes in the middle of a plan and needs the room that is held: it is placed at once.
TEST(Moves, EntitledWorkTakesTheReservedRoom) {
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    ASSERT_TRUE(fragments.run_into_plan(at));
    auto urgent = make_job("j-000009", JobKind::service, 4, 5, "blue").spec;
    urgent.priority = wire::Priority::production;
    w.submit(w.leader(), urgent);
    // Of a gang that was placed before nothing is stopped; then two replicas find room beside it.
    EXPECT_TRUE(fragments.until(8, [&] {
      return w.running_tasks(urgent.id) >= (w.live_tasks(kLarge) > 0 ? 2 : 4);
    })) << at;
    EXPECT_TRUE(fragments.until(fragments.longest(), [&] {
      return !fragments.has_plan() && !fragments.reservations_held();
    })) << at;
  }
}

// Work of the same priority waits as long as the room is held, and no longer.
TEST(Moves, WorkOfEqualRankLeavesTheReservedRoomAlone) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  w.submit(w.leader(), make_job("j-000009", JobKind::service, 4, 5, "blue").spec);
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.large_runs(); }));
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.is_settled(); }));
}

// Two gangs of whole machines, and room that moves can make for one.
TEST(Moves, TwoLargeJobsWantTheSamePieces) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  w.submit(1, Fragments::large_spec("j-000004"));
  EXPECT_TRUE(fragments.until(
      3 * kBoot, [&] { return fragments.large_runs() || fragments.large_runs("j-000004"); }));
  fragments.run(4 * kBoot);
  EXPECT_NE(fragments.large_runs(), fragments.large_runs("j-000004"));
  EXPECT_TRUE(fragments.is_settled());
  // No task was moved to and fro for the other.
  EXPECT_EQ(fragments.moves_begun(), 2);
}

// A machine that was emptied stands idle until the next one is: it is not given back meanwhile.
TEST(Moves, EmptiedMachinesAreKeptForTheWaitingJob) {
  auto settings = settings_with_moves();
  settings.operators.scaler.down_window_s = 1;
  settings.operators.scaler.down_cooldown_s = 0.1;
  Fragments fragments(settings);
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto moves = fragments.record()->plan->moves;
  auto& second_source = *w.workers.at(moves.back().source);
  second_source.is_hung = true;
  fragments.run(8);
  EXPECT_TRUE(w.workers.at(moves.front().source)->tasks.empty());
  EXPECT_TRUE(w.deleted_machines.empty());
  w.resume_worker(second_source);
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.large_runs(); }));
}

// ---- rules and limits ----

TEST(Moves, ASpreadJobMovesWithinItsZonesOrNotAtAll) {
  for (const bool in_one_zone : {false, true}) {
    TestCluster w(3, {}, settings_with_moves());
    w.cloud_without_capacity = true;
    w.run_s = 1e6;
    for (const char* zone : {"a", "a", "b", "b"}) w.add_worker(zone);
    for (int task = 0; task < 4; ++task) w.run_s_by_task["j-000001/" + std::to_string(task)] = 8;
    w.run(2);
    w.submit(0, array_of(kShort, 4, 5));
    w.run(4);
    auto small = Fragments::small_spec();
    small.spread = true;
    w.submit(0, small);
    w.run(16);
    ASSERT_EQ(w.running_tasks(kSmall), 4);
    auto large = Fragments::large_spec();
    if (in_one_zone) large.zone = "a";  // both of its machines: the tasks there would have to leave
    w.submit(1, large);
    w.run(3 * kBoot);
    EXPECT_EQ(w.running_tasks(kLarge), in_one_zone ? 0 : 2);
    EXPECT_EQ(w.running_tasks(kSmall), 4);
    for (const auto& [task, starts] : w.start_counts) {
      EXPECT_TRUE(starts == 1 || !in_one_zone) << task;
    }
  }
}

TEST(Moves, ATeamAtItsLimitGetsNoPlan) {
  auto settings = settings_with_moves();
  settings.teams[0].gpus_max = 27;  // 12 for the small tasks, 16 for the gang
  Fragments fragments(settings);
  fragments.ask_for_large();
  fragments.run(3 * kBoot);
  EXPECT_EQ(fragments.moves_begun(), 0);
  EXPECT_EQ(fragments.w.running_tasks(kSmall), 4);
}

// The moved task's part of the limit is its own, though it is free for a moment between two
// machines and other work of its team waits for it.
TEST(Moves, AMovedTaskKeepsItsPartOfTheLimit) {
  auto settings = settings_with_moves();
  settings.teams[0].gpus_max = 20;  // 12 for the small tasks, 8 for what waits of its own team
  Fragments fragments(settings);
  auto& w = fragments.w;
  w.submit(1, make_job(kLarge, JobKind::service, 1, 8, "blue").spec);
  // Eight GPUs run in pieces of one; two more tasks wait at the limit, and go before the others.
  auto waiting = make_job("j-000005", JobKind::job_array, 10, 1, "red").spec;
  waiting.due_s = 1;
  w.submit(1, waiting);
  ASSERT_TRUE(fragments.until(10, [&] { return w.running_tasks("j-000005") == 8; }));
  ASSERT_TRUE(fragments.reach_plan());
  EXPECT_TRUE(fragments.until(30, [&] { return w.running_tasks(kLarge) == 1; }));
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.is_settled(); }));
  EXPECT_EQ(w.running_tasks("j-000005"), 8);
}

// Other work of the team fills the limit while the plan is under way: it gains nothing any more.
TEST(Moves, ALimitThatFillsUpEndsThePlan) {
  auto settings = settings_with_moves();
  settings.teams[0].gpus_max = 28;  // 12 for the small tasks and 16 for the gang
  Fragments fragments(settings);
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto move = fragments.record()->plan->moves.front();
  w.workers.at(move.source)->cannot_receive = true;
  w.submit(w.leader(), make_job("j-000005", JobKind::service, 1, 1, "red").spec);
  EXPECT_TRUE(
      fragments.until(10, [&] { return !fragments.has_plan() && !fragments.reservations_held(); }));
  w.workers.at(move.source)->cannot_receive = false;
  EXPECT_TRUE(fragments.until(20, [&] { return fragments.is_settled(); }));
}

// ---- the gain is gone ----

// Machines boot that will hold the gang, while the first move is held up.
TEST(Moves, MachinesThatBootEndThePlan) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto move = fragments.record()->plan->moves.front();
  w.workers.at(move.source)->cannot_receive = true;
  w.add_worker("a", 20);
  w.add_worker("a", 20);
  EXPECT_TRUE(
      fragments.until(8, [&] { return !fragments.has_plan() && !fragments.reservations_held(); }));
  w.workers.at(move.source)->cannot_receive = false;
  EXPECT_TRUE(fragments.until(40, [&] { return fragments.large_runs(); }));
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.is_settled(); }));
  EXPECT_LE(fragments.moves_begun(), 1);
}

// Other work ends, and the gang finds room without the moves that have not begun.
TEST(Moves, RoomThatComesFreeEndsThePlan) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto moves = fragments.record()->plan->moves;
  ASSERT_EQ(moves.size(), 2U);
  for (const auto& move : moves) {
    // What is on the targets ends; one of them is whole then, without its second move.
    for (const auto& [task, held] : w.workers.at(move.target)->tasks) w.run_s_by_task[task] = 0;
  }
  EXPECT_TRUE(fragments.until(10, [&] { return fragments.large_runs(); }));
  EXPECT_TRUE(
      fragments.until(10, [&] { return !fragments.has_plan() && !fragments.reservations_held(); }));
  EXPECT_EQ(fragments.moves_begun(), 1);
}

// ---- budgets, operators and versions ----

/// Leaves a record of so many moves of the small job, as long ago, to the next leader.
void leave_past_moves(Fragments& fragments, int moves, double ago_s) {
  auto& w = fragments.w;
  defrag::MoveRecord record;
  const auto at_ms = w.reactor.wall_ms() - static_cast<std::int64_t>(ago_s * 1000);
  for (int i = 0; i < moves; ++i) record.past.push_back({kSmall, at_ms});
  const int leader = w.leader();
  w.crash_node(leader);
  w.state_service.handle({"POST", "/txn", "",
                          R"({"If":[],"Then":[{"Write":"moves/record","Data":)" +
                              defrag::write_move_record(record) + "}]}",
                          true});
  ASSERT_EQ(fragments.record(), record);
  ASSERT_TRUE(fragments.until(10, [&] { return w.leader() >= 0; }));
  w.start_node(leader);
}

// What a job has moved counts for an hour, through changes of leader. The gang takes two moves.
TEST(Moves, ABudgetSurvivesItsLeader) {
  constexpr double kHour = 3600;
  for (const double ago_s : {10.0, kHour + 10}) {
    Fragments fragments;
    leave_past_moves(fragments, 3, ago_s);
    fragments.ask_for_large();
    fragments.run(3 * kBoot);
    EXPECT_EQ(fragments.large_runs(), ago_s > kHour);
    EXPECT_EQ(fragments.moves_begun(), ago_s > kHour ? 2 : 3);
  }
}

TEST(Moves, WhatWasMovedStaysInTheRecord) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.until(3 * kBoot, [&] { return fragments.large_runs(); }));
  ASSERT_TRUE(fragments.until(20, [&] { return fragments.is_settled(); }));
  w.crash_node(w.leader());
  fragments.run(20);
  EXPECT_EQ(fragments.moves_begun(), 2);
}

// The operator's key stops all moves at once.
TEST(Moves, TheOperatorStopsAllMoves) {
  Fragments fragments;
  auto& w = fragments.w;
  fragments.ask_for_large();
  ASSERT_TRUE(fragments.reach_plan());
  const auto put = [&](bool off) {
    const std::string what =
        off ? R"({"Write":"moves/off","Data":{}})" : R"({"Remove":"moves/off"})";
    w.state_service.handle({"POST", "/txn", "", R"({"If":[],"Then":[)" + what + "]}", true});
  };
  put(true);
  EXPECT_TRUE(fragments.until(5, [&] { return fragments.is_settled(); }));
  const int begun = fragments.moves_begun();
  fragments.run(3 * kBoot);
  EXPECT_EQ(fragments.moves_begun(), begun);
  EXPECT_FALSE(fragments.large_runs());
  put(false);
  EXPECT_TRUE(fragments.until(3 * kBoot, [&] { return fragments.large_runs(); }));
}

// An older version knows nothing of plans: it leads over a half-done one, and hands it back.
TEST(Moves, OlderAndNewerVersionsLeadInTurnOverOnePlan) {
  for (const double at : moments()) {
    Fragments fragments;
    auto& w = fragments.w;
    ASSERT_TRUE(fragments.run_into_plan(at));
    const int newer = w.leader();
    for (int node = 0; node < w.nodes(); ++node) {
      if (node == newer) continue;
      w.nodes_without_moves.insert(node);
      w.crash_node(node);
      w.start_node(node);
    }
    fragments.run(1);
    w.crash_node(newer);
    ASSERT_TRUE(fragments.until(10, [&] { return w.leader() >= 0; }));
    fragments.run(10);
    const int older = w.leader();
    ASSERT_NE(older, newer);
    EXPECT_TRUE(w.term(older)->cluster().reservations().empty());
    w.start_node(newer);
    fragments.run(1);
    for (int node = 0; node < w.nodes(); ++node) {
      if (node != newer) w.crash_node(node);
    }
    EXPECT_TRUE(fragments.recovers()) << at;
    EXPECT_EQ(w.duplicate_starts, 0);
  }
}

}  // namespace
}  // namespace cranklock::testing
