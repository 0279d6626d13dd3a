// The plan executor on a cluster state: what it stores, stops, reserves and drains.
#include "defrag/move_executor.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "fixtures.hpp"

namespace cranklock::defrag {
namespace {

using testing::kFencingToken;
using testing::make_job;

constexpr const char* kFirstJob = "j-000001";
constexpr const char* kSecondJob = "j-000002";
constexpr const char* kLargeJob = "j-000003";
constexpr std::size_t kAnySize = 8192;
constexpr std::int64_t kWallMs = 1'000'000;

/// Three machines of eight GPUs, two of them half occupied, and a job that needs a whole machine.
/// The third is full of tasks that do not move.
class Halves {
 public:
  testing::Fleet fleet{{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}};
  double now = 60;

  explicit Halves(wire::JobKind kind = wire::JobKind::job_array) {
    fleet.settings.teams = {{"red", 0, 0, 64, 64}};
    place(add(kFirstJob, kind, 2, 4), 0, "n-1");
    place(add(kSecondJob, kind, 2, 4), 0, "n-2");
    auto& rest = add("j-000004", wire::JobKind::gang, 1, 8);
    place(rest, 0, "n-3");
    // The second task of each job is completed; for services, it is a second replica that serves
    // elsewhere meanwhile.
    for (const char* id : {kFirstJob, kSecondJob}) job(id).done.add(1);
    if (kind == wire::JobKind::service) {
      for (const char* id : {kFirstJob, kSecondJob}) {
        job(id).done = {};
        fleet.cluster.upsert_machine("n-9", {"g8", "a", false}, 0);
        place(job(id), 1, "n-9");
      }
    }
    add(kLargeJob, wire::JobKind::service, 1, 8);
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
    placement.reported = true;
    placement.state = wire::TaskState::running;
    placement.running_since = 0;
  }
  std::int64_t wall_ms() const { return kWallMs + static_cast<std::int64_t>(now * 1000); }
  MoveExecutor executor(bool allow_replica_moves = false) {
    return {fleet.cluster, kFencingToken, allow_replica_moves, 0};
  }
  void search(MoveExecutor& executor) { executor.search(kAnySize, wall_ms(), now); }
  void advance(MoveExecutor& executor) { executor.advance(wall_ms(), now); }
  /// Simulates a successful write of the pending record.
  static void store(MoveExecutor& executor) {
    const auto record = executor.pending_write();
    ASSERT_TRUE(record);
    executor.record_stored(*record);
  }
  sched::Placement& source(const PlannedMove& move) {
    return *job(move.task.job).find(move.task.index, move.attempt);
  }
};

TEST(MoveExecutor, RequestsAStopOnlyOnceItIsStored) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  ASSERT_TRUE(executor.has_plan());
  const auto move = executor.desired().plan->moves.at(0);
  halves.advance(executor);
  EXPECT_FALSE(halves.source(move).stop_requested);
  EXPECT_TRUE(halves.fleet.cluster.reservations().empty()) << "reserved before the plan is stored";
  Halves::store(executor);
  EXPECT_EQ(halves.fleet.cluster.reservations().all().size(), 2U);
  halves.advance(executor);  // the stop has to be stored first
  EXPECT_FALSE(halves.source(move).stop_requested);
  ASSERT_TRUE(executor.pending_write());
  EXPECT_EQ(executor.pending_write()->plan->moves.at(0).step, MoveStep::stopping);
  EXPECT_EQ(executor.pending_write()->past.size(), 1U);
  Halves::store(executor);
  halves.advance(executor);
  EXPECT_TRUE(halves.source(move).stop_requested);
  EXPECT_DOUBLE_EQ(halves.source(move).grace_s, 3);
}

TEST(MoveExecutor, ASuccessorContinuesFromTheRecordAndThePlacements) {
  Halves halves;
  MoveRecord stored;
  {
    auto former = halves.executor();
    halves.search(former);
    Halves::store(former);
    halves.advance(former);
    Halves::store(former);
    stored = former.desired();
  }
  const auto move = stored.plan->moves.at(0);
  auto successor = halves.executor();
  successor.load(stored, halves.wall_ms(), halves.now);
  halves.advance(successor);
  EXPECT_TRUE(halves.source(move).stop_requested);
  // Confirmed free: the next placement pass places the task on its target and nowhere else.
  halves.fleet.cluster.end_placement(halves.job(move.task.job), halves.source(move),
                                     sched::EndProof::exit_reported, halves.now);
  halves.advance(successor);
  EXPECT_EQ(successor.desired().plan->moves.at(0).step, MoveStep::freed);
  halves.fleet.run_pass(halves.now);
  const auto* placed = halves.job(move.task.job).live_placement(move.task.index);
  ASSERT_NE(placed, nullptr);
  EXPECT_EQ(placed->machine, move.target);
  EXPECT_EQ(placed->attempt, 2U);
  EXPECT_NE(halves.job(kLargeJob).live_placement(0), nullptr);
}

// A new leader has received no heartbeats: a machine without one is no reason yet to drop the plan
// or to stop a task.
TEST(MoveExecutor, ASuccessorWaitsUntilMachinesHaveReported) {
  Halves halves;
  auto former = halves.executor();
  halves.search(former);
  Halves::store(former);
  MoveExecutor successor(halves.fleet.cluster, kFencingToken, false, halves.now);
  successor.load(former.desired(), halves.wall_ms(), halves.now);
  for (const char* id : {"n-1", "n-2"})
    halves.fleet.cluster.machine(id)->agent.heartbeat_received = false;
  halves.advance(successor);
  EXPECT_TRUE(successor.has_plan());
  EXPECT_FALSE(successor.pending_write());
  halves.now += 4 * halves.fleet.settings.heartbeat_interval_s;
  halves.advance(successor);
  EXPECT_FALSE(successor.has_plan());
}

TEST(MoveExecutor, APlanTimesOut) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  Halves::store(executor);
  halves.advance(executor);
  Halves::store(executor);
  halves.now += max_plan_duration_s(halves.fleet.settings) - 1;
  halves.advance(executor);
  EXPECT_TRUE(executor.has_plan());
  halves.now += 2;
  halves.advance(executor);
  EXPECT_FALSE(executor.has_plan());
  EXPECT_TRUE(halves.fleet.cluster.reservations().empty());
  ASSERT_TRUE(executor.pending_write());
  EXPECT_FALSE(executor.pending_write()->plan);
}

// The start of the task may still be carried out, so where it runs is uncertain: it is not stopped
// for a plan.
TEST(MoveExecutor, AnUnconfirmedStartDoesNotBeginToMove) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  Halves::store(executor);
  auto& source = halves.source(executor.desired().plan->moves.at(0));
  source.indeterminate_start_epoch = 1;
  halves.advance(executor);
  EXPECT_EQ(executor.desired().plan->moves.at(0).step, MoveStep::reserved);
  source.indeterminate_start_epoch = 0;
  halves.advance(executor);
  EXPECT_EQ(executor.desired().plan->moves.at(0).step, MoveStep::stopping);
}

// Moving a task without checkpoints costs more the longer it has run.
TEST(MoveExecutor, APlanThatHasBecomeTooExpensiveIsDropped) {
  Halves halves;
  for (const char* id : {kFirstJob, kSecondJob}) {
    halves.job(id).spec.checkpoint_interval_s = 0;
    halves.job(id).find(0, 1)->running_since = halves.now - 10;
  }
  auto executor = halves.executor();
  halves.search(executor);
  ASSERT_TRUE(executor.has_plan());
  halves.now += 30;
  halves.advance(executor);
  EXPECT_TRUE(executor.has_plan());
  halves.now += 5;  // a boot takes 45 s, and the restart counts as well
  halves.advance(executor);
  EXPECT_FALSE(executor.has_plan());
}

TEST(MoveExecutor, APlanThatDoesNotFitIntoAValueIsNotBegun) {
  Halves halves;
  auto executor = halves.executor();
  executor.search(200, halves.wall_ms(), halves.now);
  EXPECT_FALSE(executor.has_plan());
  halves.search(executor);
  EXPECT_TRUE(executor.has_plan());
}

TEST(MoveExecutor, MovesOfEarlierLeadersCountForAnHour) {
  Halves halves;
  const auto past_moves = [&](double ago_s) {
    MoveRecord record;
    for (const char* id : {kFirstJob, kSecondJob}) {
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
  EXPECT_TRUE(renewed.desired().past.empty());  // expired moves are removed
}

TEST(MoveExecutor, ADroppedPlanIsNotRetriedImmediately) {
  Halves halves;
  auto executor = halves.executor();
  halves.search(executor);
  executor.drop(DropReason::no_gain, halves.now);
  halves.search(executor);
  EXPECT_FALSE(executor.has_plan());
  halves.now += 46;  // the boot time of a machine
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
  PlannedMove move() const { return executor.desired().plan->moves.at(0); }
  sched::Placement& source() { return halves.source(move()); }
  /// Returns the one due drain request.
  DrainRequest due_request() {
    auto due = executor.take_due_drains(halves.now);
    EXPECT_EQ(due.size(), 1U);
    return due.at(0);
  }
  void answer(const DrainRequest& request, DrainState state, double sent_at) {
    executor.record_drain_answer(request, DrainAnswer{request.task, request.attempt, state, 0},
                                 sent_at, halves.now);
    halves.advance(executor);
  }
  /// Drains the replica and stores its stop.
  void drain() {
    answer(due_request(), DrainState::drained, halves.now);
    Halves::store(executor);
    halves.advance(executor);
  }
  /// Whether the response to a heartbeat of its machine would stop the replica now.
  bool is_stop_commanded() {
    auto& cluster = halves.fleet.cluster;
    const auto& machine = *cluster.machine(move().source);
    const auto heartbeat = testing::heartbeat(
        machine.id, 1, machine.agent.newest_message.sequence + 1,
        {testing::task_status(move().task.job, move().task.index, 1, wire::TaskState::running)});
    const auto commands_for = cluster.commands_for(heartbeat, true, halves.now);
    return std::any_of(commands_for.begin(), commands_for.end(), [](const wire::Command& command) {
      return command.kind == wire::CommandKind::stop;
    });
  }
};

TEST(MoveExecutor, AReplicaIsStoppedOnlyWithinTheLeaseOfItsDrain) {
  Drains drains;
  const auto request = drains.due_request();
  EXPECT_EQ(request.attempt, 1U);
  drains.answer(request, DrainState::draining, drains.halves.now);
  EXPECT_FALSE(drains.source().stop_requested);
  drains.halves.now += 1;
  drains.drain();
  EXPECT_TRUE(drains.source().stop_requested);
  EXPECT_TRUE(drains.is_stop_commanded());
  // The agent may process the response up to 4 s later; the replica must still be drained then.
  drains.halves.now += request.lease_s - 4.5;
  EXPECT_TRUE(drains.is_stop_commanded());
  drains.halves.now += 1;
  EXPECT_FALSE(drains.is_stop_commanded());
  // Once the drain is renewed, the stop is sent again.
  const auto again = drains.due_request();
  drains.answer(again, DrainState::drained, drains.halves.now);
  EXPECT_TRUE(drains.is_stop_commanded());
}

// The lease counts from when the request was sent, however long the answer took.
TEST(MoveExecutor, TheLeaseOfADrainCountsFromTheRequest) {
  Drains drains;
  const auto request = drains.due_request();
  const double sent_at = drains.halves.now;
  drains.halves.now += request.lease_s;
  drains.answer(request, DrainState::drained, sent_at);
  EXPECT_FALSE(drains.source().stop_requested);
  EXPECT_EQ(drains.move().step, MoveStep::draining);
}

TEST(MoveExecutor, ARefusedDrainStopsNothingAndIsCancelled) {
  Drains drains;
  const auto request = drains.due_request();
  const auto move = drains.move();
  drains.answer(request, DrainState::refused, drains.halves.now);
  EXPECT_FALSE(drains.executor.has_plan());
  EXPECT_FALSE(drains.halves.source(move).stop_requested);
  const auto cancelled = drains.executor.take_due_drains(drains.halves.now);
  ASSERT_EQ(cancelled.size(), 1U);
  EXPECT_DOUBLE_EQ(cancelled[0].lease_s, 0);
}

// The stop was sent, and the router refuses to renew the drain: either the replica has ended, which
// the next heartbeat shows, or it is in service, and then it is not stopped.
TEST(MoveExecutor, ARefusalAfterTheStopWasSentWaitsForTheNextHeartbeats) {
  for (const bool gone : {false, true}) {
    Drains drains;
    drains.drain();
    ASSERT_TRUE(drains.is_stop_commanded());
    const auto move = drains.move();
    drains.halves.now += 1;
    drains.answer(drains.due_request(), DrainState::refused, drains.halves.now);
    ASSERT_TRUE(drains.executor.has_plan());
    EXPECT_FALSE(drains.is_stop_commanded());
    if (gone) {
      auto& job = drains.halves.job(move.task.job);
      drains.halves.fleet.cluster.end_placement(job, drains.source(),
                                                sched::EndProof::exit_reported, drains.halves.now);
    }
    drains.halves.now += 4;
    drains.halves.advance(drains.executor);
    ASSERT_EQ(drains.executor.has_plan(), gone);
    EXPECT_TRUE(!gone || drains.move().step == MoveStep::freed);
  }
}

TEST(MoveExecutor, AnAnswerForAnotherAttemptIsARefusal) {
  Drains drains;
  const auto request = drains.due_request();
  const DrainAnswer other{request.task, request.attempt + 1, DrainState::drained, 0};
  drains.executor.record_drain_answer(request, other, drains.halves.now, drains.halves.now);
  EXPECT_FALSE(drains.executor.has_plan());
}

TEST(MoveExecutor, AnUnresponsiveRouterEndsThePlan) {
  Drains drains;
  for (int i = 0; i < 50 && drains.executor.has_plan(); ++i) {
    const auto request = drains.due_request();
    drains.halves.now += 1;
    drains.executor.record_drain_answer(request, std::nullopt, drains.halves.now - 1,
                                        drains.halves.now);
    drains.halves.advance(drains.executor);
    EXPECT_FALSE(drains.executor.has_plan() && drains.source().stop_requested);
  }
  EXPECT_FALSE(drains.executor.has_plan());
}

// The plan is dropped after the stop was decided: the replica is not stopped, and its drain is
// cancelled.
TEST(MoveExecutor, ADroppedPlanRevokesItsDrainedStops) {
  Drains drains;
  drains.drain();
  ASSERT_TRUE(drains.source().stop_requested);
  auto& source = drains.source();
  drains.halves.fleet.cluster.cancel(drains.halves.job(kLargeJob), 1, 1);
  drains.halves.advance(drains.executor);
  EXPECT_FALSE(drains.executor.has_plan());
  EXPECT_FALSE(source.stop_requested);
  EXPECT_EQ(drains.executor.take_due_drains(drains.halves.now).size(), 1U);
}

// A new leader has no confirmation of the drain: it requests the drain before it stops the replica.
TEST(MoveExecutor, ASuccessorRequestsTheDrainItself) {
  Drains drains;
  drains.answer(drains.due_request(), DrainState::drained, drains.halves.now);
  Halves::store(drains.executor);
  ASSERT_EQ(drains.move().step, MoveStep::stopping);
  auto successor = drains.halves.executor(true);
  successor.load(drains.executor.desired(), drains.halves.wall_ms(), drains.halves.now);
  drains.halves.advance(successor);
  EXPECT_FALSE(drains.source().stop_requested);
  const auto due = successor.take_due_drains(drains.halves.now);
  ASSERT_EQ(due.size(), 1U);
  successor.record_drain_answer(due[0], DrainAnswer{due[0].task, 1, DrainState::drained, 0},
                                drains.halves.now, drains.halves.now);
  drains.halves.advance(successor);
  EXPECT_TRUE(drains.source().stop_requested);
}

TEST(MoveExecutor, WithoutARouterReplicasDoNotMove) {
  Halves halves(wire::JobKind::service);
  auto executor = halves.executor(false);
  halves.search(executor);
  EXPECT_FALSE(executor.has_plan());
}

// ---- encoding of records and drain messages ----

PlannedMove move_of(std::uint32_t task, std::uint64_t attempt, MoveStep step) {
  PlannedMove move;
  move.task.job = kFirstJob;
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
  plan.job = kLargeJob;
  plan.begun_ms = 123;
  plan.cost_s = 6.5;
  plan.boot_s = 90;
  plan.places = {{"n-1", 2}};
  plan.moves = std::move(moves);
  return plan;
}

TEST(MoveRecord, RoundTrips) {
  MoveRecord record;
  record.past = {{"j-000007", 17}, {"j-000008", 18}};
  EXPECT_EQ(read_move_record(write_move_record(record)), record);
  record.plan = plan_of({move_of(3, 7, MoveStep::stopping), move_of(4, 1, MoveStep::reserved)});
  EXPECT_EQ(read_move_record(write_move_record(record)), record);
}

TEST(MoveRecord, MalformedRecordsAreRejected) {
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

TEST(Drain, RequestsAndAnswersRoundTrip) {
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
