// Memory of the leader with very many or very large waiting jobs (invariant 23).
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

#include "control/job_watcher.hpp"
#include "leader_part.hpp"
#include "sched/availability.hpp"
#include "sched/job_memory.hpp"

namespace cranklock::testing {
namespace {

using control::JobWatcher;
using sched::Job;
using wire::JobKind;

constexpr std::uint32_t kMaxTasks = wire::kMaxTasks;

/// Two teams without limits, so that nothing but the scheduler bounds what a job requests.
struct UnlimitedFleet : Fleet {
  explicit UnlimitedFleet(std::initializer_list<MachineLocation> machines) : Fleet(machines) {
    settings.teams = {{"red", 0, 0, 0, 0}, {"blue", 0, 0, 0, 0}};
  }
};

int wanted_machines(const sched::Shortfall& shortfall) {
  int machines = 0;
  for (const auto& [kind, count] : shortfall.wanted) machines += count;
  return machines;
}

double requested_gpus(const sched::Shortfall& shortfall) {
  double gpus = 0;
  for (const auto& [pool, resources] : shortfall.requested) gpus += resources.gpus;
  return gpus;
}

class LargeJobs : public ::testing::TestWithParam<JobKind> {};

// Guards against a list of new machines as long as the number of waiting tasks.
TEST_P(LargeJobs, NoMoreMachinesAreConsideredThanOneStepAdds) {
  UnlimitedFleet fleet({{"n-1", "a"}, {"n-2", "b"}});
  constexpr int kJobs = 6;
  for (int i = 1; i <= kJobs; ++i) {
    fleet.add(make_job("j-00000" + std::to_string(i), GetParam(), kMaxTasks, 5));
  }
  const auto shortfall = fleet.run_pass().shortfall;
  const int zones = 2;
  EXPECT_LE(wanted_machines(shortfall),
            zones * fleet.settings.operator_settings.scaler.max_scale_out_step_machines);
  if (GetParam() == JobKind::gang) return;  // one larger than a record is not placed
  EXPECT_NEAR(requested_gpus(shortfall), 5.0 * (kJobs * kMaxTasks - 2), 1);
}

// Guards against a scale-out that the bound on machines keeps from a second job's kind.
TEST_P(LargeJobs, ALaterJobStillRequestsAnotherKindOfMachine) {
  UnlimitedFleet fleet({{"n-1", "a"}});
  Job large = make_job("j-000001", GetParam(), kMaxTasks, 8);
  large.spec.zone = "a";
  Job other = make_job("j-000002", JobKind::job_array, 3, 8, "blue");
  other.spec.zone = "b";
  fleet.add(std::move(large));
  fleet.add(std::move(other));
  const sched::MachineKind in_b{"g8", "b", false};
  EXPECT_EQ(fleet.run_pass().shortfall.wanted[in_b], 3);
}

INSTANTIATE_TEST_SUITE_P(Kinds, LargeJobs,
                         ::testing::Values(JobKind::job_array, JobKind::service, JobKind::gang),
                         [](const auto& kind) {
                           return std::string(kind.param == JobKind::job_array ? "Array"
                                              : kind.param == JobKind::service ? "Service"
                                                                               : "Gang");
                         });

// Guards against an estimate that a spread job never ends, or that exceeds its share of a zone.
TEST(LargeJobs, ASpreadServiceRequestsMachinesInBothZones) {
  UnlimitedFleet fleet({});
  Job job = make_job("j-000001", JobKind::service, kMaxTasks, 8);
  job.spec.spread = true;
  fleet.add(std::move(job));
  const auto shortfall = fleet.run_pass().shortfall;
  EXPECT_EQ(shortfall.wanted.size(), 2U);
  EXPECT_NEAR(requested_gpus(shortfall), 8.0 * kMaxTasks, 1);
}

// Guards against placements of tiny tasks that take more memory than there is.
TEST(LargeJobs, PlacementsStayWithinTheirShareOfMemory) {
  UnlimitedFleet fleet({{"n-1", "a"}});
  fleet.settings.ram_mb = 1;
  for (int i = 1; i <= 4; ++i) {
    fleet.add(make_job("j-00000" + std::to_string(i), JobKind::job_array, kMaxTasks, 0.001));
  }
  const std::size_t max_placements = sched::remaining_placements(fleet.cluster);
  EXPECT_LT(max_placements * sizeof(sched::Placement), base::memory_bytes(fleet.settings, 0.5));
  for (double now = 1; now < 12; ++now) fleet.run_pass(now);
  EXPECT_EQ(fleet.cluster.machine("n-1")->tasks.size(), max_placements);
  EXPECT_EQ(sched::remaining_placements(fleet.cluster), 0U);
}

// Guards against running jobs whose long lists of dependencies take more memory than there is.
TEST(LargeJobs, RunningJobsWithManyDependenciesStayWithinTheirShareOfMemory) {
  UnlimitedFleet fleet({{"n-1", "a"}});
  fleet.settings.ram_mb = 4;
  for (int i = 0; i < 200; ++i) {
    Job job = make_job("j-" + std::to_string(100'000 + i), JobKind::job_array, 1, 0.001);
    for (std::size_t k = 0; k < wire::kMaxDependencies; ++k) {
      job.spec.dependencies.push_back("j-" + std::to_string(200'000 + k));
    }
    if (sched::remaining_placements(fleet.cluster) == 0) break;
    Job& held = fleet.add(std::move(job));
    held.dependencies_met = true;
    fleet.run_pass(i + 1);
  }
  EXPECT_GT(fleet.cluster.machine("n-1")->tasks.size(), 3U);
  EXPECT_LE(static_cast<double>(fleet.cluster.job_memory_bytes()),
            base::memory_bytes(fleet.settings, 0.5));
}

// Guards against a search of the fleet for every task of every gang that does not fit.
TEST(LargeJobs, GangsThatDoNotFitCostFewSearches) {
  UnlimitedFleet fleet({});
  constexpr std::size_t kMachines = 200;
  for (std::size_t i = 0; i < kMachines; ++i) {
    fleet.cluster.reconcile_heartbeat(heartbeat("n-" + std::to_string(i + 100), 1, 1), true, 0);
  }
  constexpr int kGangs = 300;
  for (int i = 0; i < kGangs; ++i) {
    fleet.add(
        make_job("j-" + std::to_string(100'000 + i), JobKind::gang, 2 * kMachines + i % 7, 5));
  }
  const auto result = fleet.run_pass(100);
  EXPECT_EQ(result.placed, 0);
  EXPECT_LT(result.candidates_examined, 120 * kMachines);
}

/// A leader with so little memory that it holds some 70 waiting jobs.
class SmallMemoryTest : public LeaderPartTest {
 protected:
  SmallMemoryTest() { settings_.ram_mb = 0.5; }
};

/// More stored jobs than the leader may hold.
class DeferredJobs : public SmallMemoryTest {
 protected:
  static constexpr int kJobs = 400;

  static std::string job_id(int number) { return "j-" + std::to_string(100'000 + number); }
  void store_jobs(int jobs = kJobs) {
    for (int i = 0; i < jobs; ++i) store_job(job_id(i));
  }
  /// Reads changes and deferred jobs; each round of the decision loop considers all held jobs.
  void follow(double seconds) {
    auto following = watcher_.follow();
    auto reading = watcher_.read_deferred();
    following.start();
    reading.start();
    const double end = reactor_.now() + seconds;
    while (reactor_.now() < end) {
      run(0.05);
      note_held_jobs();
      max_queued_ = std::max(max_queued_, watcher_.queued_changes());
      watcher_.apply_changes();
      sched::place_waiting_jobs(cluster_, {}, reactor_.now());
      note_held_jobs();
      EXPECT_LE(waiting_bytes(), max_bytes_);
    }
  }
  void note_held_jobs() {
    for (const auto& [id, job] : cluster_.jobs()) seen_.insert(id);
  }
  std::size_t waiting_bytes() {
    std::size_t bytes = 0;
    for (const auto& [id, job] : cluster_.jobs()) {
      if (job.placements.empty()) bytes += sched::job_memory_bytes(job);
    }
    return bytes;
  }

  std::size_t max_bytes_ = static_cast<std::size_t>(base::memory_bytes(settings_, 1.0 / 8));
  std::size_t max_queued_ = 0;  ///< changes
  std::set<std::string> seen_;  ///< ids of the jobs that were held at some time
  control::RecordReloader reloader_{context_,
                                    [this](Job job) { watcher_.upsert_job(std::move(job)); }};
  JobWatcher watcher_{context_, reloader_, {[] {}, [] {}}};
};

// Guards against a new leader that holds every waiting job.
TEST_F(DeferredJobs, ANewLeaderHoldsNoMoreThanItsShareOfMemory) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  EXPECT_LE(waiting_bytes(), max_bytes_);
  EXPECT_GT(cluster_.jobs().size(), 10U);
}

// Guards against deferred jobs that wait for ever behind jobs that cannot be placed (invariant 21).
TEST_F(DeferredJobs, EveryJobIsHeldForAPassNowAndThen) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  follow(60);
  EXPECT_EQ(seen_.size(), static_cast<std::size_t>(kJobs));
}

TEST_F(DeferredJobs, JobsSubmittedLaterAreDeferredToo) {
  ASSERT_TRUE(await(watcher_.load()));
  store_jobs();
  follow(60);
  EXPECT_EQ(seen_.size(), static_cast<std::size_t>(kJobs));
}

// Guards against urgent work that waits for its turn among thousands of deferred jobs.
TEST_F(DeferredJobs, AMoreEntitledJobIsHeldAtOnce) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  Job urgent = make_service("j-999999");
  urgent.spec.priority = wire::Priority::production;
  store_job(urgent);
  follow(2);
  EXPECT_NE(cluster_.job("j-999999"), nullptr);
}

// Guards against a job larger than the window, which the others would wait behind for ever.
TEST_F(DeferredJobs, AJobLargerThanTheWindowIsHeldNowAndThen) {
  store_jobs();
  Job large = make_service("j-100200");
  for (std::size_t i = 0; i < wire::kMaxDependencies; ++i) {
    large.spec.dependencies.push_back("j-" + std::to_string(700'000 + i));
  }
  ASSERT_GT(sched::job_memory_bytes(large), max_bytes_);
  max_bytes_ = sched::job_memory_bytes(large);
  store_job(large);
  ASSERT_TRUE(await(watcher_.load()));
  follow(60);
  EXPECT_EQ(seen_.size(), static_cast<std::size_t>(kJobs));
}

// Guards against tasks on machines whose job the leader does not know.
TEST_F(DeferredJobs, JobsWithPlacementsAreAlwaysHeld) {
  store_jobs();
  Job running = make_service("j-999999");
  sched::Placement placement;
  placement.attempt = running.last_attempt = 1;
  placement.machine = "n-1";
  running.placements.push_back(placement);
  store_job(running);
  ASSERT_TRUE(await(watcher_.load()));
  ASSERT_NE(cluster_.job("j-999999"), nullptr);
  follow(10);
  EXPECT_NE(cluster_.job("j-999999"), nullptr);
}

// Guards against an attempt number or a completed task that is forgotten before it is stored.
TEST_F(DeferredJobs, AJobWithUnstoredChangesIsNotEvicted) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  const std::string id = cluster_.jobs().rbegin()->first;
  cluster_.job(id)->record.dirty = true;
  follow(30);
  ASSERT_NE(cluster_.job(id), nullptr);
  EXPECT_TRUE(cluster_.job(id)->record.dirty);
}

// Guards against a cancelled job whose record is never moved to the outcomes.
TEST_F(DeferredJobs, ACancelledJobIsHeldUntilItsOutcomeIsStored) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  const std::string id = job_id(kJobs - 1);
  ASSERT_EQ(cluster_.job(id), nullptr);
  store_cancelled_job(id);
  follow(60);
  EXPECT_TRUE(seen_.contains(id));
}

// Guards against pages read for ever once all stored jobs fit.
TEST_F(DeferredJobs, ReadingEndsOnceAllJobsAreHeld) {
  store_jobs();
  ASSERT_TRUE(await(watcher_.load()));
  for (int i = 5; i < kJobs; ++i) store_outcome(job_id(i), R"({"s":"cancelled","n":0})");
  follow(30);
  EXPECT_EQ(cluster_.jobs().size(), 5U);
  const int calls = transport_.calls;
  auto reading = watcher_.read_deferred();
  reading.start();
  run(10);
  EXPECT_EQ(transport_.calls, calls);
}

// Guards against all records in memory at once after a gap in the changes.
TEST_F(DeferredJobs, AGapInTheChangesQueuesFewRecords) {
  constexpr int kWritesBeyondHistory = 10'500;
  constexpr int kManyJobs = 1500;
  constexpr std::size_t kPages = 2;  // one that is queued and one that is received
  ASSERT_TRUE(await(watcher_.load()));
  store_jobs(kManyJobs);
  for (int i = 0; i < kWritesBeyondHistory; ++i) write({{"other", "1", 0}});
  follow(120);
  EXPECT_EQ(seen_.size(), static_cast<std::size_t>(kManyJobs));
  EXPECT_LE(max_queued_, kPages * store::kPageItems);
}

/// Submits more jobs than a leader may hold; `jobs` are numbered from 1.
struct CrowdedCluster {
  std::unique_ptr<TestCluster> cluster;
  int jobs = 0;

  explicit CrowdedCluster(int count) : jobs(count) {
    base::Settings settings = small_settings();
    settings.ram_mb = 0.25;
    cluster = std::make_unique<TestCluster>(3, std::vector<std::string>{}, settings);
    cluster->add_worker();
    cluster->run(5);
    for (int i = 1; i <= jobs; ++i) {
      cluster->submit(i % 3, make_job(job_id(i), JobKind::job_array, 1, 1).spec);
    }
  }
  static std::string job_id(int number) { return "j-" + std::to_string(100'000 + number); }
  int done() {
    int ended = 0;
    for (int i = 1; i <= jobs; ++i) {
      if (cluster->state_of(1, job_id(i)) == "done") ++ended;
    }
    return ended;
  }
};

// Guards against accepted jobs that never run because the leader never held them.
TEST(CrowdedQueue, EveryAcceptedJobRunsAcrossChangesOfLeader) {
  CrowdedCluster crowd(120);
  crowd.cluster->run(2);
  ASSERT_GE(crowd.cluster->leader(), 0);
  EXPECT_LT(crowd.cluster->term(crowd.cluster->leader())->cluster().jobs().size(), 80U);
  for (int i = 0; i < 3; ++i) {
    crowd.cluster->run(20);
    const int leader = crowd.cluster->leader();
    if (leader < 0) continue;
    crowd.cluster->crash_node(leader);
    crowd.cluster->run(2);
    crowd.cluster->start_node(leader);
  }
  crowd.cluster->run(200);
  EXPECT_EQ(crowd.done(), crowd.jobs);
}

}  // namespace
}  // namespace cranklock::testing
