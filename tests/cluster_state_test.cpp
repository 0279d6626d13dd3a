// When a placement is free, and what agents are told: the parts of the cluster state together.
#include <gtest/gtest.h>

#include "control/job_record.hpp"
#include "fixtures.hpp"
#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {

using testing::Fleet;
using testing::heartbeat;
using testing::kFencingToken;
using testing::make_job;
using testing::task_status;
using wire::CommandKind;
using wire::ExitReason;
using wire::TaskState;

/// One service task placed on n-1 and written.
struct Placed : Fleet {
  Job& job;
  Placed() : job(add(make_job("j-000001", wire::JobKind::service, 1, 4))) {
    run_pass();
    mark_written(job);
  }
  Placement& placement() { return job.placements.at(0); }
  ClusterState::Freshness reconcile(const wire::Heartbeat& message, double now = 2) {
    return cluster.reconcile_heartbeat(message, true, now);
  }
};

TEST(ClusterState, NothingStartsBeforeItsPlacementIsDurable) {
  Placed s;
  s.placement().write = PlacementWrite::pending;
  EXPECT_TRUE(s.cluster.commands_for(heartbeat("n-1", 1, 2), true, 2).empty());
  s.placement().write = PlacementWrite::durable;
  ASSERT_EQ(s.cluster.commands_for(heartbeat("n-1", 1, 2), true, 2).size(), 1u);
}

TEST(ClusterState, NothingStartsWithoutACertainLeaderLease) {
  Placed s;
  EXPECT_TRUE(s.cluster.commands_for(heartbeat("n-1", 1, 2), false, 2).empty());
}

TEST(ClusterState, AnAbsenceCountsOnlyInAHeartbeatNewerThanTheOneThatCarriedTheStart) {
  Placed s;
  s.reconcile(heartbeat("n-1", 1, 2));
  s.cluster.commands_for(heartbeat("n-1", 1, 2), true, 2);
  s.placement().request_stop(0, 2);
  // A copy of the same report proves nothing, nor does a direct answer that crossed the start.
  EXPECT_EQ(s.reconcile(heartbeat("n-1", 1, 2)), ClusterState::Freshness::late_copy);
  s.cluster.reconcile_heartbeat(heartbeat("n-1", 1, 3), false, 2);
  EXPECT_FALSE(s.placement().ended);
  s.reconcile(heartbeat("n-1", 1, 4));
  EXPECT_TRUE(s.placement().ended);
}

TEST(ClusterState, AHeartbeatThatDoesNotShowOurTokenProvesNothing) {
  Placed s;
  s.placement().seen = true;  // a former leader's command may still be under way
  s.reconcile(heartbeat("n-1", 1, 2, {}, kFencingToken - 1));
  EXPECT_FALSE(s.placement().ended);
  s.reconcile(heartbeat("n-1", 1, 3, {}, kFencingToken));
  EXPECT_TRUE(s.placement().ended);
}

TEST(ClusterState, AnIndeterminateStartKeepsItsPlacementForItsAgentEpoch) {
  Placed s;
  s.placement().unconfirmed_start_epoch = 1;
  s.placement().request_stop(0, 2);
  s.reconcile(heartbeat("n-1", 1, 5));
  EXPECT_FALSE(s.placement().ended);
  s.reconcile(heartbeat("n-1", 2, 6));
  EXPECT_TRUE(s.placement().ended);
}

TEST(ClusterState, ATaskWithAnIndeterminateStartIsNeverForgotten) {
  Placed s;
  s.cluster.machine("n-1")->agent.indeterminate_starts.insert({{"j-000001", 0}, 1});
  const auto exited = heartbeat(
      "n-1", 1, 5, {task_status("j-000001", 0, 1, TaskState::exited, ExitReason::completed)});
  s.reconcile(exited);
  s.mark_written(s.job);
  EXPECT_TRUE(s.cluster.commands_for(exited, true, 3).empty());
}

TEST(ClusterState, DoneIsDurableBeforeForget) {
  Placed s;
  const auto exited = heartbeat(
      "n-1", 1, 5, {task_status("j-000001", 0, 1, TaskState::exited, ExitReason::completed)});
  s.reconcile(exited);
  EXPECT_TRUE(s.job.complete());
  EXPECT_TRUE(s.cluster.commands_for(exited, true, 3).empty());
  s.mark_written(s.job);
  const auto commands = s.cluster.commands_for(exited, true, 3);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::forget);
}

// Guards against machines whose heartbeats arrive and that no answer reaches: idle for ever, they
// would hold whatever is placed on them.
TEST(ClusterState, AnUnresponsiveMachineHoldsNothingAndGetsNothing) {
  Placed s;
  const auto says_nothing_of_it = [&](std::uint64_t sequence) {
    const auto r = heartbeat("n-1", 1, sequence);
    s.reconcile(r, static_cast<double>(sequence));
    s.cluster.commands_for(r, true, static_cast<double>(sequence));
    s.cluster.record_response("n-1", static_cast<double>(sequence));
  };
  says_nothing_of_it(2);
  says_nothing_of_it(3);  // one answer may be lost
  EXPECT_FALSE(s.placement().ended);
  says_nothing_of_it(4);
  EXPECT_TRUE(s.placement().ended);
  s.mark_written(s.job);
  EXPECT_EQ(s.run_pass(5).placed, 0);
  says_nothing_of_it(5 + static_cast<std::uint64_t>(s.settings.lease_s));  // tried once more
  EXPECT_EQ(s.run_pass(20).placed, 1);
}

TEST(ClusterState, AMachineThatNeverShowsOurTokenGetsNothingMore) {
  Fleet s;
  s.add(make_job("j-000001", wire::JobKind::service, 1, 4));
  for (std::uint64_t sequence = 2; sequence <= 4; ++sequence) {
    s.cluster.reconcile_heartbeat(heartbeat("n-1", 1, sequence, {}, kFencingToken - 1), true, 2);
    s.cluster.record_response("n-1", 2);
  }
  EXPECT_EQ(s.run_pass(3).placed, 0);
}

// A direct start command that was never answered may still be executed.
TEST(ClusterState, WhatAMachineMayHaveBeenToldDirectlyIsNotGivenUp) {
  Placed s;
  s.placement().unconfirmed_start_epoch = 1;
  for (std::uint64_t sequence = 2; sequence < 9; ++sequence) {
    const auto r = heartbeat("n-1", 1, sequence);
    s.reconcile(r, 2);
    s.cluster.commands_for(r, true, 2);
  }
  EXPECT_FALSE(s.placement().ended);
}

// A worker that has not shown our fencing token may be kept by a former leader for as long as that
// one may answer, which was settled before our leadership began; only then does its silence tell.
TEST(ClusterState, ALeaseIsTimedFromOurTokenOrFromAFormerLeadersLastAnswer) {
  Placed s;
  s.cluster.record_response("n-1", 5);
  EXPECT_TRUE(s.cluster.expire_leases(15).empty());
  EXPECT_FALSE(s.placement().ended);
  EXPECT_EQ(s.cluster.expire_leases(16).size(), 1u);
  EXPECT_TRUE(s.placement().ended);

  Placed other;
  other.cluster.machine("n-1")->agent.token_acknowledged = false;
  const double last = base::response_span(other.settings);  // our leadership began at 0
  EXPECT_TRUE(other.cluster.expire_leases(last + other.settings.lease_s).empty());
  EXPECT_FALSE(other.placement().ended);
  EXPECT_EQ(other.cluster.expire_leases(last + other.settings.lease_s + 1).size(), 1u);
  EXPECT_TRUE(other.placement().ended);
}

// Guards against the work of a zone that is cut off during a take-over waiting for its return.
TEST(ClusterState, TheLeaseOfAMachineThatNeverReportedToUsExpiresLikewise) {
  Fleet s({});
  auto job = make_job("j-000001", wire::JobKind::service, 1, 1);
  Placement p;
  p.attempt = 1, p.machine = "n-1", p.write = PlacementWrite::durable;
  job.placements.push_back(p);
  Job& stored = s.add(job);
  s.cluster.upsert_machine("n-1", {"g8", "b", false}, 1);  // the list names it
  const double over = base::response_span(s.settings) + s.settings.lease_s;
  EXPECT_TRUE(s.cluster.expire_leases(over).empty());
  EXPECT_EQ(s.cluster.expire_leases(over + 1).size(), 1u);
  EXPECT_TRUE(stored.placements[0].ended);
  // Should it come back, it holds nothing of ours.
  s.cluster.reconcile_heartbeat(
      heartbeat("n-1", 2, 1, {task_status("j-000001", 0, 1, wire::TaskState::running)}), true,
      over + 2);
  EXPECT_TRUE(stored.placements[0].ended);
}

// Guards against timing a lease from the start of the steady clock for a worker that showed our
// fencing token in the answer to a direct command and was never answered a heartbeat.
TEST(ClusterState, ALeaseIsTimedFromTheTokensFirstShowing) {
  Placed s;
  Machine& m = *s.cluster.machine("n-1");
  m.agent.token_acknowledged = false;
  m.lease.last_response = 0;
  s.cluster.reconcile_heartbeat(heartbeat("n-1", 1, 9), false, 100);
  EXPECT_TRUE(s.cluster.expire_leases(105).empty());
  EXPECT_EQ(s.cluster.expire_leases(111).size(), 1u);
}

TEST(ClusterState, DeletionFreesWhatWasOnTheMachine) {
  Placed s;
  EXPECT_DOUBLE_EQ(s.cluster.team_allocation("red").gpus, 4);
  s.cluster.remove_machine("n-1", 9);
  EXPECT_TRUE(s.placement().ended);
  EXPECT_DOUBLE_EQ(s.cluster.team_allocation("red").gpus, 0);
}

TEST(ClusterState, ACancelledJobIsStoppedAndNeverStarted) {
  Placed s;
  s.job.cancelled_at_ms = 99;
  EXPECT_TRUE(s.cluster.commands_for(heartbeat("n-1", 1, 2), true, 2).empty());
  const auto running = heartbeat("n-1", 1, 3, {task_status("j-000001", 0, 1, TaskState::running)});
  s.reconcile(running);
  const auto commands = s.cluster.commands_for(running, true, 3);
  ASSERT_EQ(commands.size(), 1u);
  EXPECT_EQ(commands[0].kind, CommandKind::stop);
}

TEST(ClusterState, AReloadedRecordDropsWhatWasNeverWrittenAndKeepsWhatWasLearnt) {
  Placed s;
  s.reconcile(heartbeat("n-1", 1, 5,
                        {task_status("j-000001", 0, 1, TaskState::exited, ExitReason::completed)}));
  // The write of `done` got lost; the stored record still names the placement.
  auto stored = make_job("j-000001", wire::JobKind::service, 1, 4);
  stored.last_attempt = 1;
  stored.placements.emplace_back();
  stored.placements[0].attempt = 1;
  stored.placements[0].machine = "n-1";
  stored.placements[0].write = PlacementWrite::durable;
  Job& again = s.cluster.upsert_job(std::move(stored), 6);
  EXPECT_TRUE(again.complete());
  EXPECT_TRUE(again.placements.at(0).ended);
  EXPECT_TRUE(again.record.dirty);
  EXPECT_DOUBLE_EQ(s.cluster.team_allocation("red").gpus, 0);
}

TEST(ClusterState, AMachineThatFailsSeveralJobsIsQuarantined) {
  Fleet s;
  for (const char* id : {"j-000001", "j-000002"}) {
    s.add(make_job(id, wire::JobKind::job_array, 1, 1));
  }
  s.run_pass();
  std::vector<wire::TaskStatus> failed;
  for (const char* id : {"j-000001", "j-000002"}) {
    s.mark_written(*s.cluster.job(id));
    failed.push_back(task_status(id, 0, 1, TaskState::exited, ExitReason::error));
  }
  s.cluster.reconcile_heartbeat(heartbeat("n-1", 1, 2, failed), true, 2);
  EXPECT_TRUE(s.cluster.machine("n-1")->quarantined());
  EXPECT_EQ(s.cluster.job("j-000001")->retry.failed_rounds, 0);
}

TEST(ClusterState, AJobThatFailsOnSeveralMachinesBacksOff) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 2, 8));
  s.run_pass();
  s.mark_written(job);
  for (auto& p : job.placements) {
    s.cluster.reconcile_heartbeat(heartbeat(p.machine, 1, 2,
                                            {task_status("j-000001", p.task, p.attempt,
                                                         TaskState::exited, ExitReason::error)}),
                                  true, 2);
  }
  EXPECT_GT(job.retry.backoff_until, 2);
  EXPECT_FALSE(s.cluster.machine("n-1")->quarantined());
  EXPECT_EQ(s.run_pass(2.1).placed, 0);
}

/// Starts whatever may be started, and lets all that runs of these jobs fail; returns how many.
int fail_all(Fleet& s, const std::set<std::string>& jobs, std::uint64_t sequence, double now) {
  s.run_pass(now);
  std::map<std::string, std::vector<wire::TaskStatus>> reports;
  int failed = 0;
  for (auto& [id, job] : s.cluster.jobs()) {
    s.mark_written(job);
    for (const auto& p : job.placements) {
      const bool fails = jobs.contains(id);
      failed += fails ? 1 : 0;
      reports[p.machine].push_back(task_status(id, p.task, p.attempt,
                                               fails ? TaskState::exited : TaskState::running,
                                               fails ? ExitReason::error : ExitReason::none));
    }
  }
  for (const auto& [machine, tasks] : reports) {
    s.cluster.reconcile_heartbeat(heartbeat(machine, 1, sequence, tasks), true, now + 0.1);
  }
  return failed;
}

// Two jobs with a mistake meet on the same machines: these are sound, and none stays quarantined.
TEST(ClusterState, JobsThatFailEverywhereCostNoMachine) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  for (const char* id : {"j-000001", "j-000002", "j-000003"}) {
    s.add(make_job(id, wire::JobKind::job_array, 4, 1));
  }
  int failed = 0;
  for (int i = 0; i < 400; ++i) {
    const double now = 2 + 0.5 * i;
    failed +=
        fail_all(s, {"j-000001", "j-000002", "j-000003"}, 2 + static_cast<std::uint64_t>(i), now);
  }
  EXPECT_GE(failed, 12);
  EXPECT_FALSE(s.cluster.machine("n-1")->quarantined());
  EXPECT_FALSE(s.cluster.machine("n-2")->quarantined());
  // Spread out: two of each, and then a round every 32 reports at most.
  EXPECT_LE(failed, 3 * 4 * (5 + 200 / 32 + 1));
  EXPECT_TRUE(s.run_pass(210).shortfall.wanted.empty());
}

// The opposite beside it: a machine that fails a job which works elsewhere is found all the same.
TEST(ClusterState, AFaultyMachineIsFoundAmongJobsThatFailEverywhere) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& sound = s.add(make_job("j-000001", wire::JobKind::job_array, 6, 2));
  s.add(make_job("j-000002", wire::JobKind::job_array, 2, 2, "blue"));
  s.run_pass(2);
  for (auto& [id, job] : s.cluster.jobs()) s.mark_written(job);
  std::map<std::string, std::vector<wire::TaskStatus>> reports;
  for (const auto& [id, job] : s.cluster.jobs()) {
    for (const auto& p : job.placements) {
      const bool works = id == "j-000001" && p.machine == "n-2";
      reports[p.machine].push_back(task_status(id, p.task, p.attempt, TaskState::exited,
                                               works ? ExitReason::completed : ExitReason::error));
    }
  }
  ASSERT_EQ(reports.size(), 2U);
  s.cluster.reconcile_heartbeat(heartbeat("n-2", 1, 2, reports["n-2"]), true, 3);
  ASSERT_TRUE(sound.retry.succeeded);
  s.cluster.reconcile_heartbeat(heartbeat("n-1", 1, 2, reports["n-1"]), true, 3);
  ASSERT_TRUE(s.cluster.machine("n-1")->quarantined());
  // The other job turns out to be at fault, which clears nothing that was proven otherwise.
  for (std::uint64_t sequence = 3; sequence < 6; ++sequence) {
    fail_all(s, {"j-000002"}, sequence, 10 * static_cast<double>(sequence));
  }
  EXPECT_TRUE(s.cluster.job("j-000002")->crash_looping());
  EXPECT_TRUE(s.cluster.machine("n-1")->quarantined());
  EXPECT_FALSE(s.cluster.machine("n-2")->quarantined());
}

// Hundreds of tasks that were started together fail within a heartbeat or two: that is one round.
TEST(ClusterState, TasksThatFailTogetherAreOneRound) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 16, 1));
  EXPECT_EQ(fail_all(s, {"j-000001"}, 2, 2), 16);
  EXPECT_EQ(job.retry.failed_rounds, 1);
}

// Guards against a job that lacks machines for ever because it once met two faulty ones.
TEST(ClusterState, AJobThatWorksAgainMayScaleOutAgain) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 2, 8));
  ASSERT_EQ(fail_all(s, {"j-000001"}, 2, 2), 2);
  ASSERT_GT(job.retry.failed_rounds, 0);
  s.run_pass(10);
  s.mark_written(job);
  ASSERT_EQ(job.live(), 2U);
  const auto p = job.placements.front();
  s.cluster.reconcile_heartbeat(heartbeat(p.machine, 1, 3,
                                          {task_status("j-000001", p.task, p.attempt,
                                                       TaskState::exited, ExitReason::completed)}),
                                true, 11);
  EXPECT_EQ(job.retry.failed_rounds, 0);
  EXPECT_TRUE(job.retry.failed_machines.empty());
}

// A new leader finds in the record that its tasks were started again and again for nothing.
TEST(ClusterState, RetriesStaySpacedOutAfterAChangeOfLeader) {
  Fleet s;
  auto failing = make_job("j-000001", wire::JobKind::job_array, 4, 1);
  failing.last_attempt = 16;
  auto fresh = make_job("j-000002", wire::JobKind::job_array, 4, 1);
  fresh.last_attempt = 4;
  Job& spaced = s.add(failing);
  s.add(fresh);
  EXPECT_EQ(s.run_pass(1).placed, 4);
  EXPECT_EQ(spaced.live(), 0U);
  EXPECT_EQ(s.run_pass(0.1 + spaced.retry.backoff_until).placed, 4);
  EXPECT_GE(spaced.retry.earlier_rounds, 3);
}

TEST(ClusterState, AGangThatLosesATaskIsStoppedWhole) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& job = s.add(make_job("j-000001", wire::JobKind::gang, 2, 8));
  s.run_pass();
  s.mark_written(job);
  ASSERT_EQ(job.placements.size(), 2u);
  EXPECT_EQ(job.placements[0].attempt, job.placements[1].attempt);
  s.cluster.remove_machine("n-1", 3);
  for (const auto& p : job.placements) EXPECT_TRUE(p.ended || p.stop);
  // The next attempt waits until all of the old one is gone.
  EXPECT_EQ(s.run_pass(4).placed, 0);
}

// Guards against starting a task again while a forwarder in a zone that is cut off may still
// prolong its worker's lease.
TEST(ClusterState, ALeaseLastsWhileAForwarderMayRenewIt) {
  Fleet s;
  s.add(make_job("j-000001", wire::JobKind::service, 1, 8));
  ASSERT_EQ(s.run_pass().placed, 1);
  Machine& m = *s.cluster.machine("n-1");
  m.lease.delegated_until["n1"] = 25;
  EXPECT_TRUE(s.cluster.expire_leases(12).empty());  // last answered at 0, the lease is 10
  EXPECT_TRUE(s.cluster.expire_leases(35).empty());  // it may have answered until 25
  EXPECT_EQ(s.cluster.expire_leases(36).size(), 1u);
}

TEST(ClusterState, AForwarderThatIsHeardProvesThatItAnsweredNobody) {
  Fleet s;
  Machine& m = *s.cluster.machine("n-1");
  m.lease.delegated_until["n1"] = 25;
  s.cluster.record_forwarder("n1", 1, 3, -1, 2);  // the first: what it did before is not known
  s.cluster.record_forwarder("n1", 1, 13, -1, 12);
  EXPECT_TRUE(s.cluster.expire_leases(12.2).empty());  // perhaps answered at 2
  EXPECT_TRUE(s.cluster.expire_leases(13.5).empty());  // not heard any more
  s.cluster.record_forwarder("n1", 1, 14, -1, 13);
  EXPECT_EQ(s.cluster.expire_leases(13.5).size(), 1u);
}

TEST(ClusterState, AFormerIncarnationOfAForwarderMayHaveAnsweredUntilItEnded) {
  Fleet s;
  Machine& m = *s.cluster.machine("n-1");
  m.lease.delegated_until["n1"] = 25;
  s.cluster.record_forwarder("n1", 1, 3, -1, 2);
  s.cluster.record_forwarder("n1", 2, 15, -1, 14);
  EXPECT_TRUE(s.cluster.expire_leases(14.5).empty());
  s.cluster.record_forwarder("n1", 2, 26, -1, 25);
  EXPECT_EQ(s.cluster.expire_leases(25).size(), 1u);
}

TEST(ClusterState, AZoneIsUnreachableWhenAllItsAgentsGoQuietAndOthersDoNot) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}, {"n-4", "b"}});
  EXPECT_TRUE(
      s.cluster.update_zone_reachability(5).empty());  // nobody is heard: it is us who are cut off
  s.cluster.reconcile_heartbeat(heartbeat("n-4", 1, 2, {}, kFencingToken, "b"), true, 5);
  EXPECT_EQ(s.cluster.update_zone_reachability(5), std::vector<std::string>{"a"});
  EXPECT_FALSE(is_schedulable(s.cluster, *s.cluster.machine("n-1")));
  EXPECT_TRUE(is_schedulable(s.cluster, *s.cluster.machine("n-4")));
  s.cluster.reconcile_heartbeat(heartbeat("n-2", 1, 2), true, 6);
  EXPECT_TRUE(s.cluster.update_zone_reachability(6).empty());
  EXPECT_TRUE(is_schedulable(s.cluster, *s.cluster.machine("n-1")));
}

// Guards against beginning to boot only when the leases are over, and against renting what can't be
// reached.
TEST(ClusterState, RoomForWhatAnUnreachableZoneMayLoseIsProvisionedElsewhere) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}, {"n-3", "a"}, {"n-4", "b"}});
  s.add(make_job("j-000001", wire::JobKind::service, 2, 8));
  ASSERT_EQ(s.run_pass().placed, 2);
  ASSERT_TRUE(s.run_pass().shortfall.wanted.empty());
  s.cluster.reconcile_heartbeat(heartbeat("n-4", 1, 2, {}, kFencingToken, "b"), true, 5);
  s.cluster.update_zone_reachability(5);
  const auto wanted = s.run_pass(5).shortfall.wanted;  // one of the two finds room on n-4
  ASSERT_EQ(wanted.size(), 1u);
  EXPECT_EQ(wanted.begin()->first.zone, "b");
  EXPECT_EQ(wanted.begin()->second, 1);
}

// Guards against room that is free again while an unanswered write, which would take it, may yet be
// carried out: on a machine that is gone, and on one whose job then finds its record changed.
TEST(ClusterState, AnUnresolvedPlacementKeepsItsRoomUntilAWriteWithoutItSucceeds) {
  Fleet s;
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 1, 4));
  Placement& placement = s.cluster.add_placement(job, 0, 1, "n-1", 1);
  placement.write = PlacementWrite::unresolved;
  s.cluster.remove_machine("n-1", 2);
  EXPECT_EQ(s.cluster.team_allocation("red").gpus, 4);
  EXPECT_TRUE(job.pending(9).empty());
  EXPECT_TRUE(job.record.dirty);
  const auto text = control::write_record(job, 8192).front();
  EXPECT_EQ(text.find("n-1"), std::string::npos);
  s.cluster.resolve_abandoned(job, job.placements.front(), 3);
  EXPECT_EQ(s.cluster.team_allocation("red").gpus, 0);
  EXPECT_EQ(job.pending(9).size(), 1U);
}

TEST(ClusterState, AnAbandonedPlacementThatWasStoredAfterAllIsNeverStarted) {
  Fleet s;
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 1, 4));
  s.cluster.add_placement(job, 0, 1, "n-1", 1).write = PlacementWrite::unresolved;
  s.cluster.end_placement(job, job.placements.front(), 2);
  EXPECT_EQ(s.cluster.team_allocation("red").gpus, 4);
  auto stored = make_job("j-000001", wire::JobKind::job_array, 1, 4);
  stored.record.revision = 9;
  stored.last_attempt = 1;
  stored.placements = job.placements;
  stored.placements.front().write = PlacementWrite::durable;
  Job& put = s.add(std::move(stored));
  EXPECT_TRUE(put.placements.front().ended);
  EXPECT_TRUE(put.record.dirty);  // and so is written without it
  EXPECT_EQ(s.cluster.team_allocation("red").gpus, 0);
  EXPECT_TRUE(s.cluster.commands_for(heartbeat("n-1", 1, 2), true, 3).empty());
}

// Guards against a stored placement being taken for a remembered one on another machine: the record
// would name the one and the cluster state the other.
TEST(ClusterState, APlacementIsTheSameOnlyOnTheSameMachineAndAttemptsNeverGoBack) {
  Fleet s({{"n-1", "a"}, {"n-2", "a"}});
  Job& job = s.add(make_job("j-000001", wire::JobKind::job_array, 1, 4));
  Placement& remembered = s.cluster.add_placement(job, 0, 5, "n-2", 1);
  remembered.seen = true;
  auto stored = make_job("j-000001", wire::JobKind::job_array, 1, 4);
  stored.last_attempt = 4;
  stored.placements.emplace_back();
  stored.placements.front().attempt = 5;
  stored.placements.front().machine = "n-1";
  stored.placements.front().write = PlacementWrite::durable;
  Job& put = s.add(std::move(stored));
  ASSERT_EQ(put.placements.size(), 1U);
  EXPECT_EQ(put.placements.front().machine, "n-1");
  EXPECT_FALSE(put.placements.front().seen);
  EXPECT_EQ(put.last_attempt, 5U);
}

// Guards against a late copy, from before the leadership, that tells of an end in an earlier
// agent epoch: the same attempt may have been started again since.
TEST(ClusterState, AnExitIsBelievedOnlyOfAnAgentThatHasShownOurToken) {
  Fleet s;
  auto stored = make_job("j-000001", wire::JobKind::job_array, 2, 4);
  for (std::uint32_t i = 0; i < 2; ++i) {
    stored.placements.emplace_back();
    stored.placements.back().task = i;
    stored.placements.back().attempt = i + 1;
    stored.placements.back().machine = "n-7";
    stored.placements.back().write = PlacementWrite::durable;
  }
  Job& job = s.add(std::move(stored));
  const auto exited = wire::TaskState::exited;
  s.cluster.reconcile_heartbeat(
      heartbeat("n-7", 1, 9,
                {task_status("j-000001", 0, 1, exited, wire::ExitReason::stopped),
                 task_status("j-000001", 1, 2, exited, wire::ExitReason::completed)},
                kFencingToken - 1),
      true, 1);
  EXPECT_EQ(job.live(), 2U);
  EXPECT_TRUE(job.done.contains(1));  // what is done stays done
  EXPECT_FALSE(is_schedulable(s.cluster, *s.cluster.machine("n-7")));
  EXPECT_TRUE(is_starting(s.cluster, *s.cluster.machine("n-7")));
  s.cluster.reconcile_heartbeat(heartbeat("n-7", 2, 1), true, 2);
  EXPECT_TRUE(is_schedulable(s.cluster, *s.cluster.machine("n-7")));
  EXPECT_EQ(job.live(), 2U);  // nothing was told to this agent epoch yet
}

// Guards against a placement that is stopped while its start is indeterminate, and then stays for
// ever.
TEST(ClusterState, AnIndeterminateStartCanBeStopped) {
  Placed s;
  s.reconcile(heartbeat("n-1", 1, 2));
  const std::uint64_t attempt = s.placement().attempt;
  s.placement().unconfirmed_start_epoch = 1;
  s.cluster.machine("n-1")->agent.indeterminate_starts.insert({{"j-000001", 0}, attempt});
  s.placement().request_stop(5, 3);
  s.reconcile(heartbeat("n-1", 1, 3), 3);
  EXPECT_FALSE(s.placement().ended);  // it may still come
  const auto commands = s.cluster.commands_for(heartbeat("n-1", 1, 3), true, 3);
  ASSERT_EQ(commands.size(), 2U);
  EXPECT_EQ(commands[0].kind, CommandKind::start);
  EXPECT_EQ(commands[1].kind, CommandKind::stop);
  EXPECT_TRUE(s.cluster.commands_for(heartbeat("n-1", 1, 3), false, 3).empty());
  const auto ended = heartbeat(
      "n-1", 1, 4, {task_status("j-000001", 0, attempt, TaskState::exited, ExitReason::stopped)});
  s.reconcile(ended, 4);
  EXPECT_EQ(s.job.live(), 0U);
  s.mark_written(s.job);
  EXPECT_TRUE(
      s.cluster.commands_for(ended, true, 4).empty());  // nor is it forgotten in this agent epoch
}

}  // namespace
}  // namespace cranklock::sched
