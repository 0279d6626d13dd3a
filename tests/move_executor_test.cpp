// The executor of plans on a cluster state alone: what it wants stored, stopped, held and drained.
#include "defrag/move_executor.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "fixtures.hpp"

namespace cranklock::defrag {
namespace {

using testing::kFencingToken;
using testing::make_job;

constexpr const char* kFirst = "j-000001";
constexpr const char* kSecond = "j-000002";
constexpr const char* kLarge = "j-000003";
constexpr std::size_t kAnySize = 8192;
constexpr std::int64_t kWallMs = 1'000'000;

/// Three machines of eight GPUs, two of them half full, and a job that wants a whole one. The third
/// is full of work that stays.
class Halves {
 public:
  testing::Fleet fleet{{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}};
  double now = 60;

  explicit Halves(wire::JobKind kind = wire::JobKind::job_array) {
    fleet.settings.teams = {{"red", 0, 0, 64, 64}};
    place(add(kFirst, kind, 2, 4), 0, "n-1");
    place(add(kSecond, kind, 2, 4), 0, "n-2");
    auto& rest = add("j-000004", wire::JobKind::gang, 1, 8);
    place(rest, 0, "n-3");
    // A second replica serves elsewhere meanwhile.
    for (const char* id : {kFirst, kSecond}) job(id).done.add(1);
    if (kind == wire::JobKind::service) {
      for (const char* id : {kFirst, kSecond}) {
        job(id).done = {};
        fleet.cluster.upsert_machine("n-9", {"g8", "a", false}, 0);
        place(job(id), 1, "n-9");
      }
    }
    add(kLarge, wire::JobKind::service, 1, 8);
  }
  sched::Job& job(const std::string& id) { return *fleet.cluster.job(id); }
  sched::Job& add(const std::string& id, wire::JobKind kind, std::uint32_t tasks, double gpus) {
    auto added = make_job(id, kind, tasks, gpus);
    added.spec.checkpoint_interval_s = kind == wire::JobKind::job_array ? 10 : 0;
    added.spec.checkpoint_save_s = 3;
    return fleet.add(std::move(added));
  }
  void place(sched::Job& job, std::uint32_t task, const std::string& machine) {
    auto& placement = fleet.cluster.add_placement(job, task, 1, machine, 0);
    placement.write = sched::PlacementWrite::durable;
    placement.seen = true;
    placement.state = wire::TaskState::running;
    placement.running_since = 0;
  }
  std::int64_t wall_ms() const { return kWallMs + static_cast<std::int64_t>(now * 1000); }
  MoveExecutor executor(bool services = false) {
    return {fleet.cluster, kFencingToken, services, 0};
  }
  void search(MoveExecutor& executor) { executor.search(kAnySize, wall_ms(), now); }
  void advance(MoveExecutor& executor) { executor.advance(wall_ms(), now); }
  /// What a successful write would do.
  static void store(MoveExecutor& executor) {
    const auto record = executor.pending_write();
    ASSERT_TRUE(record);
    executor.record_stored(*record);
  }
  sched::Placement& source(const PlannedMove& move) {
    return *job(move.task.job).find(move.task.index, move.attempt);
  }
};

TEST(MoveExecutor, StopsOnlyWhatIsWrittenDown) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  ASSERT_TRUE(executor.has_plan());
  const auto move = executor.wanted().plan->moves.at(0);
  halves.advance(executor);
  EXPECT_FALSE(halves.source(move).stop);
  EXPECT_TRUE(halves.fleet.cluster.reservations().empty()) << "held before it is stored";
  Halves::store(executor);
  EXPECT_EQ(halves.fleet.cluster.reservations().all().size(), 2U);
  halves.advance(executor);  // wants the stop stored
  EXPECT_FALSE(halves.source(move).stop);
  ASSERT_TRUE(executor.pending_write());
  EXPECT_EQ(executor.pending_write()->plan->moves.at(0).step, MoveStep::stopping);
  EXPECT_EQ(executor.pending_write()->past.size(), 1U);
  Halves::store(executor);
  halves.advance(executor);
  EXPECT_TRUE(halves.source(move).stop);
  EXPECT_DOUBLE_EQ(halves.source(move).grace_s, 3);
}

TEST(MoveExecutor, ASuccessorGoesOnWhereTheRecordAndThePlacementsAre) {
  Halves halves;
  MoveRecord stored;
  {
    auto former = halves.executor();
    halves.search(former);
    Halves::store(former);
    halves.advance(former);
    Halves::store(former);
    stored = former.wanted();
  }
  const auto move = stored.plan->moves.at(0);
  auto successor = halves.executor();
  successor.load(stored, halves.wall_ms(), halves.now);
  halves.advance(successor);
  EXPECT_TRUE(halves.source(move).stop);
  // Proven free: the next pass puts it on its target, and nowhere else.
  halves.fleet.cluster.end_placement(halves.job(move.task.job), halves.source(move), halves.now);
  halves.advance(successor);
  EXPECT_EQ(successor.wanted().plan->moves.at(0).step, MoveStep::freed);
  halves.fleet.run_pass(halves.now);
  const auto* placed = halves.job(move.task.job).live_placement(move.task.index);
  ASSERT_NE(placed, nullptr);
  EXPECT_EQ(placed->machine, move.target);
  EXPECT_EQ(placed->attempt, 2U);
  EXPECT_NE(halves.job(kLarge).live_placement(0), nullptr);
}

// A new leader has heard no machine: what it does not see yet is no reason to drop or to stop.
TEST(MoveExecutor, ASuccessorWaitsUntilMachinesHaveReported) {
  Halves halves;
  auto former = halves.executor();
  halves.search(former);
  Halves::store(former);
  MoveExecutor successor(halves.fleet.cluster, kFencingToken, false, halves.now);
  successor.load(former.wanted(), halves.wall_ms(), halves.now);
  for (const char* id : {"n-1", "n-2"})
    halves.fleet.cluster.machine(id)->agent.heartbeat_received = false;
  halves.advance(successor);
  EXPECT_TRUE(successor.has_plan());
  EXPECT_FALSE(successor.pending_write());
  halves.now += 4 * halves.fleet.settings.heartbeat_interval_s;
  halves.advance(successor);
  EXPECT_FALSE(successor.has_plan());
}

TEST(MoveExecutor, EveryPlanEndsWithinItsBound) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  Halves::store(executor);
  halves.advance(executor);
  Halves::store(executor);
  halves.now += max_plan_s(halves.fleet.settings) - 1;
  halves.advance(executor);
  EXPECT_TRUE(executor.has_plan());
  halves.now += 2;
  halves.advance(executor);
  EXPECT_FALSE(executor.has_plan());
  EXPECT_TRUE(halves.fleet.cluster.reservations().empty());
  ASSERT_TRUE(executor.pending_write());
  EXPECT_FALSE(executor.pending_write()->plan);
}

// Its start may still be carried out, or its place is not certain: it is not stopped for a plan.
TEST(MoveExecutor, WhatIsInDoubtDoesNotBeginToMove) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  Halves::store(executor);
  auto& source = halves.source(executor.wanted().plan->moves.at(0));
  source.unconfirmed_start_epoch = 1;
  halves.advance(executor);
  EXPECT_EQ(executor.wanted().plan->moves.at(0).step, MoveStep::reserved);
  source.unconfirmed_start_epoch = 0;
  halves.advance(executor);
  EXPECT_EQ(executor.wanted().plan->moves.at(0).step, MoveStep::stopping);
}

// Work that does not save is the dearer to move the longer it has run.
TEST(MoveExecutor, APlanThatHasBecomeTooDearIsDropped) {
  Halves halves;
  for (const char* id : {kFirst, kSecond}) {
    halves.job(id).spec.checkpoint_interval_s = 0;
    halves.job(id).find(0, 1)->running_since = halves.now - 10;
  }
  auto executor = halves.executor();
  halves.search(executor);
  ASSERT_TRUE(executor.has_plan());
  halves.now += 30;
  halves.advance(executor);
  EXPECT_TRUE(executor.has_plan());
  halves.now += 5;  // a boot takes 45 s, the restart counts too
  halves.advance(executor);
  EXPECT_FALSE(executor.has_plan());
}

TEST(MoveExecutor, ALongerRecordThanAValueIsNotBegun) {
  Halves halves;
  auto executor = halves.executor();
  executor.search(200, halves.wall_ms(), halves.now);
  EXPECT_FALSE(executor.has_plan());
  halves.search(executor);
  EXPECT_TRUE(executor.has_plan());
}

TEST(MoveExecutor, MovesOfFormerLeadersCountForTheirHour) {
  Halves halves;
  const auto past_moves = [&](double ago_s) {
    MoveRecord record;
    for (const char* id : {kFirst, kSecond}) {
      for (int i = 0; i < 4; ++i) {
        record.past.push_back({id, halves.wall_ms() - static_cast<std::int64_t>(ago_s * 1000)});
      }
    }
    return record;
  };
  auto spent = halves.executor();
  spent.load(past_moves(3500), halves.wall_ms(), halves.now);
  halves.search(spent);
  EXPECT_FALSE(spent.has_plan());
  auto renewed = halves.executor();
  renewed.load(past_moves(3700), halves.wall_ms(), halves.now);
  halves.search(renewed);
  ASSERT_TRUE(renewed.has_plan());
  EXPECT_TRUE(renewed.wanted().past.empty());  // and are forgotten after it
}

TEST(MoveExecutor, ADroppedPlanIsNotBegunAnewAtOnce) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  executor.drop(DropReason::no_gain, halves.now);
  halves.search(executor);
  EXPECT_FALSE(executor.has_plan());
  halves.now += 46;  // as long as a machine boots
  halves.search(executor);
  EXPECT_TRUE(executor.has_plan());
}

// ---- replicas ----

class Drains {
 public:
  Halves halves{wire::JobKind::service};
  MoveExecutor executor = halves.executor(true);

  Drains() {
    halves.search(executor);
    EXPECT_TRUE(executor.has_plan());
    Halves::store(executor);
    halves.advance(executor);
  }
  PlannedMove move() const { return executor.wanted().plan->moves.at(0); }
  sched::Placement& source() { return halves.source(move()); }
  /// Asks as the executor wants it, and lets the router answer.
  DrainRequest ask() {
    auto due = executor.take_due_drains(halves.now);
    EXPECT_EQ(due.size(), 1U);
    return due.at(0);
  }
  void answer(const DrainRequest& request, DrainState state, double sent) {
    executor.record_drain_answer(request, DrainAnswer{request.task, request.attempt, state, 0},
                                 sent, halves.now);
    halves.advance(executor);
  }
  /// Drained, and the stop written down.
  void drain() {
    answer(ask(), DrainState::drained, halves.now);
    Halves::store(executor);
    halves.advance(executor);
  }
  /// Whether the answer to its machine's report would stop it now.
  bool is_told_to_stop() {
    auto& cluster = halves.fleet.cluster;
    const auto& machine = *cluster.machine(move().source);
    const auto heartbeat = testing::heartbeat(
        machine.id, 1, machine.agent.newest_message.sequence + 1,
        {testing::task_status(move().task.job, move().task.index, 1, wire::TaskState::running)});
    const auto commands_for = cluster.commands_for(heartbeat, true, halves.now);
    return std::any_of(commands_for.begin(), commands_for.end(), [](const wire::Command& order) {
      return order.kind == wire::CommandKind::stop;
    });
  }
};

TEST(MoveExecutor, AReplicaIsStoppedOnlyWithinTheLeaseOfItsDrain) {
  Drains drains;
  const auto request = drains.ask();
  EXPECT_EQ(request.attempt, 1U);
  drains.answer(request, DrainState::draining, drains.halves.now);
  EXPECT_FALSE(drains.source().stop);
  drains.halves.now += 1;
  drains.drain();
  EXPECT_TRUE(drains.source().stop);
  EXPECT_TRUE(drains.is_told_to_stop());
  // The worker may read the answer 4 s later: then the replica must still be drained.
  drains.halves.now += request.lease_s - 4.5;
  EXPECT_TRUE(drains.is_told_to_stop());
  drains.halves.now += 1;
  EXPECT_FALSE(drains.is_told_to_stop());
  // Asked again, and drained again, it is.
  const auto again = drains.ask();
  drains.answer(again, DrainState::drained, drains.halves.now);
  EXPECT_TRUE(drains.is_told_to_stop());
}

// The lease counts from the sending of the question, however long its answer took.
TEST(MoveExecutor, ADrainsLeaseCountsFromTheQuestion) {
  Drains drains;
  const auto request = drains.ask();
  const double sent = drains.halves.now;
  drains.halves.now += request.lease_s;
  drains.answer(request, DrainState::drained, sent);
  EXPECT_FALSE(drains.source().stop);
  EXPECT_EQ(drains.move().step, MoveStep::draining);
}

TEST(MoveExecutor, ARefusalStopsNothingAndIsTakenBack) {
  Drains drains;
  const auto request = drains.ask();
  const auto move = drains.move();
  drains.answer(request, DrainState::refused, drains.halves.now);
  EXPECT_FALSE(drains.executor.has_plan());
  EXPECT_FALSE(drains.halves.source(move).stop);
  const auto undone = drains.executor.take_due_drains(drains.halves.now);
  ASSERT_EQ(undone.size(), 1U);
  EXPECT_DOUBLE_EQ(undone[0].lease_s, 0);
}

// Its stop was sent, and the router knows nothing of it any more: it is either gone, which its next
// report shows, or in service, and then it is not stopped.
TEST(MoveExecutor, ARefusalAfterTheStopWasSentWaitsForTheNextReports) {
  for (const bool gone : {false, true}) {
    Drains drains;
    drains.drain();
    ASSERT_TRUE(drains.is_told_to_stop());
    const auto move = drains.move();
    drains.halves.now += 1;
    drains.answer(drains.ask(), DrainState::refused, drains.halves.now);
    ASSERT_TRUE(drains.executor.has_plan());
    EXPECT_FALSE(drains.is_told_to_stop());
    if (gone) {
      auto& job = drains.halves.job(move.task.job);
      drains.halves.fleet.cluster.end_placement(job, drains.source(), drains.halves.now);
    }
    drains.halves.now += 4;
    drains.halves.advance(drains.executor);
    ASSERT_EQ(drains.executor.has_plan(), gone);
    EXPECT_TRUE(!gone || drains.move().step == MoveStep::freed);
  }
}

TEST(MoveExecutor, AnAnswerForAnotherAttemptIsARefusal) {
  Drains drains;
  const auto request = drains.ask();
  const DrainAnswer other{request.task, request.attempt + 1, DrainState::drained, 0};
  drains.executor.record_drain_answer(request, other, drains.halves.now, drains.halves.now);
  EXPECT_FALSE(drains.executor.has_plan());
}

TEST(MoveExecutor, ARouterThatDoesNotAnswerEndsThePlan) {
  Drains drains;
  for (int i = 0; i < 50 && drains.executor.has_plan(); ++i) {
    const auto request = drains.ask();
    drains.halves.now += 1;
    drains.executor.record_drain_answer(request, std::nullopt, drains.halves.now - 1,
                                        drains.halves.now);
    drains.halves.advance(drains.executor);
    EXPECT_FALSE(drains.executor.has_plan() && drains.source().stop);
  }
  EXPECT_FALSE(drains.executor.has_plan());
}

// Dropped after its stop was decided: it is not stopped any more, and is put back in service.
TEST(MoveExecutor, ADroppedPlanTakesItsDrainedStopsBack) {
  Drains drains;
  drains.drain();
  ASSERT_TRUE(drains.source().stop);
  auto& source = drains.source();
  drains.halves.fleet.cluster.cancel(drains.halves.job(kLarge), 1, 1);
  drains.halves.advance(drains.executor);
  EXPECT_FALSE(drains.executor.has_plan());
  EXPECT_FALSE(source.stop);
  EXPECT_EQ(drains.executor.take_due_drains(drains.halves.now).size(), 1U);
}

// A new leader heard of no drain: it asks itself before it stops anything.
TEST(MoveExecutor, ASuccessorAsksForTheDrainItself) {
  Drains drains;
  drains.answer(drains.ask(), DrainState::drained, drains.halves.now);
  Halves::store(drains.executor);
  ASSERT_EQ(drains.move().step, MoveStep::stopping);
  auto successor = drains.halves.executor(true);
  successor.load(drains.executor.wanted(), drains.halves.wall_ms(), drains.halves.now);
  drains.halves.advance(successor);
  EXPECT_FALSE(drains.source().stop);
  const auto due = successor.take_due_drains(drains.halves.now);
  ASSERT_EQ(due.size(), 1U);
  successor.record_drain_answer(due[0], DrainAnswer{due[0].task, 1, DrainState::drained, 0},
                                drains.halves.now, drains.halves.now);
  drains.halves.advance(successor);
  EXPECT_TRUE(drains.source().stop);
}

TEST(MoveExecutor, WithoutARouterReplicasStay) {
  Halves halves(wire::JobKind::service);
  auto executor = halves.executor(false);
  halves.search(executor);
  EXPECT_FALSE(executor.has_plan());
}

// ---- what is stored and sent ----

PlannedMove move_of(std::uint32_t task, std::uint64_t attempt, MoveStep step) {
  PlannedMove move;
  move.task.job = kFirst;
  move.task.index = task;
  move.attempt = attempt;
  move.source = "n-1";
  move.target = "n-2";
  move.step = step;
  return move;
}

MovePlan plan_of(std::vector<PlannedMove> moves) {
  MovePlan plan;
  plan.id = "41-1";
  plan.job = kLarge;
  plan.begun_ms = 123;
  plan.cost_s = 6.5;
  plan.boot_s = 90;
  plan.places = {{"n-1", 2}};
  plan.moves = std::move(moves);
  return plan;
}

TEST(MoveRecord, IsReadAsItWasWritten) {
  MoveRecord record;
  record.past = {{"j-000007", 17}, {"j-000008", 18}};
  EXPECT_EQ(read_move_record(write_move_record(record)), record);
  record.plan = plan_of({move_of(3, 7, MoveStep::stopping), move_of(4, 1, MoveStep::reserved)});
  EXPECT_EQ(read_move_record(write_move_record(record)), record);
}

TEST(MoveRecord, WhatIsMalformedIsNotTakenOver) {
  MoveRecord record;
  record.plan = plan_of({move_of(3, 7, MoveStep::stopping)});
  const std::string text = write_move_record(record);
  for (const std::string part : {"41-1", "stopping", "attempt", "from", "machine", "past"}) {
    std::string broken = text;
    const auto at = broken.find(part);
    ASSERT_NE(at, std::string::npos) << part;
    broken.replace(at, part.size(), part == "41-1" ? "\",\"x\":\"" : "x");
    if (part == "41-1") broken.replace(broken.find("\"id\""), 4, "\"no\"");
    EXPECT_FALSE(read_move_record(broken)) << broken;
  }
  EXPECT_FALSE(read_move_record("[]"));
  EXPECT_FALSE(read_move_record(""));
}

TEST(Drain, RequestsAndAnswersAreReadAsTheyWereWritten) {
  DrainRequest request;
  request.task = move_of(3, 7, MoveStep::draining).task;
  request.attempt = 7;
  request.machine = "n-1";
  request.address = "10.1.0.1:9000";
  request.lease_s = 20;
  request.within_s = 12.5;
  const auto read = read_drain_request(write_drain_request(request));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->task, request.task);
  EXPECT_EQ(read->attempt, 7U);
  EXPECT_EQ(read->address, request.address);
  EXPECT_DOUBLE_EQ(read->within_s, 12.5);
  for (const auto state : {DrainState::draining, DrainState::drained, DrainState::refused}) {
    DrainAnswer sent;
    sent.task = request.task;
    sent.attempt = 7;
    sent.state = state;
    sent.open_requests = 2;
    const auto answer = read_drain_answer(write_drain_answer(sent));
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->state, state);
    EXPECT_EQ(answer->open_requests, 2U);
  }
  EXPECT_FALSE(read_drain_answer(R"({"task":"j-000001/3","attempt":7,"state":"gone"})"));
  EXPECT_FALSE(read_drain_request(R"({"task":"j-000001/3","attempt":7})"));
}

}  // namespace
}  // namespace cranklock::defrag
