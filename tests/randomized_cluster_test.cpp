// Short cluster runs with random overlapping faults, reproducible by seed. The rule checker of each
// cluster checks all rules, and every job must end after the faults.
#include <gtest/gtest.h>

#include "seeded_test.hpp"
#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr double kFaultPhaseS = 90;      ///< seconds during which faults begin
constexpr double kRecoveryPhaseS = 150;  ///< seconds after which every job must have ended
/// From this seed on, up to 1000, a leader holds two or three waiting jobs.
constexpr unsigned kFirstSeedWithLittleMemory = 600;

/// A cluster with random jobs and faults. The order of the random draws determines what a seed
/// does, so it must not change.
class RandomizedCluster {
 public:
  explicit RandomizedCluster(unsigned seed)
      : random_(seed), cluster(3, zones(seed), settings(seed)) {
    cluster.random.seed(seed);
    cluster.begin_request_copies(seed);
    cluster.run_s = 4 + static_cast<double>(seed % 3) * 8;
    if (seed % 4 == 1) cluster.list_delay_s = 6;
    if (seed % 5 == 2) cluster.replays_heartbeats = true;
    if (seed % 3 == 2) cluster.replay_delay_s = 2;
  }

  /// Submits jobs, injects faults, ends the faults, and expects all jobs to end.
  void run() {
    cluster.run(1);
    while (cluster.reactor.now() < kFaultPhaseS) {
      if (submitted_ < kMaxJobs && draw() < 0.35) add_job();
      if (active_faults_.size() < kMaxFaults && draw() < 0.25) inject_fault();
      if (failing_machines && draw() < 0.1) fail_new_tasks();
      cluster.run(1);
      end_faults(false);
    }
    end_faults(true);
    // The stages of a pipeline run one after the other, and a gang waits until its team's limit has
    // room for all its tasks. Retries on a machine that failed tasks are up to half of cancel_s
    // apart.
    const bool takes_longer = pipelines || gangs || failing_machines;
    const double recovery_s = takes_longer ? 1.5 * kRecoveryPhaseS : kRecoveryPhaseS;
    for (double waited_s = 0; waited_s < recovery_s && ended_jobs() < submitted_; ++waited_s)
      cluster.run(1);
    EXPECT_EQ(ended_jobs(), submitted_) << "jobs not ended:" << unfinished_records();
  }

  /// Schedules the end of a fault that has just been injected.
  void end_after(double seconds, std::function<void()> end) {
    active_faults_.push_back({cluster.reactor.now() + seconds, std::move(end)});
  }

  bool pipelines = false;  ///< half of the jobs depend on others
  bool gangs = false;      ///< half of the jobs that are no services are gangs
  /// Some machines fail the tasks that begin to run there, while earlier ones go on.
  bool failing_machines = false;

 private:
  static constexpr int kMaxJobs = 25;
  static constexpr std::size_t kMaxFaults = 4;

  /// Chosen by index with a random draw, so the order matters.
  enum class FaultKind {
    state_outage,
    node_refused_by_state,
    node_cut_from_state,
    node_cut_from_workers,
    node_crash,
    node_crash_again,  ///< second entry, so that crashes are twice as likely
    all_nodes_crash,
    late_writes,
    lost_write_responses,
    late_heartbeats,
    hung_worker,
    worker_cannot_receive,
    worker_cannot_send,
    late_commands,
    zone_cut,
    slow_services
  };
  static constexpr int kFaultKinds = 16;

  /// A fault with a scheduled end.
  struct ActiveFault {
    double ends_at;
    std::function<void()> end;
  };

  static std::vector<std::string> zones(unsigned seed) {
    return seed % 2 == 0 ? std::vector<std::string>{"a", "a", "a"}
                         : std::vector<std::string>{"a", "a", "b"};
  }
  static base::Settings settings(unsigned seed) {
    auto settings = small_settings();
    settings.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 12}};
    if (seed % 3 == 1) {
      settings.heartbeat_interval_s = 2;
      settings.lease_s = 15;
      settings.cancel_s = 30;
    }
    if (seed % 3 == 2) {
      settings.heartbeat_interval_s = 2;
      settings.lease_s = 29;
      settings.cancel_s = 40;
    }
    settings.state_rps = 200;
    if (seed >= kFirstSeedWithLittleMemory && seed < 1000) settings.ram_mb = 0.02;
    if (seed > 1000) {
      settings.value_kb = 2;
      settings.txn_ops = 4;
      settings.state_write_rps = 21;
    }
    return settings;
  }

  /// A random number from 0 to 1.
  double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  /// A random number from 0 to limit - 1.
  int random_below(int limit) { return static_cast<int>(draw() * limit) % limit; }

  // ---- faults ----

  TestCluster::Worker* random_worker() {
    std::vector<TestCluster::Worker*> candidates;
    for (auto& [id, worker] : cluster.workers) {
      if (!worker->is_deleted) candidates.push_back(worker.get());
    }
    if (candidates.empty()) return nullptr;
    return candidates[static_cast<std::size_t>(random_below(static_cast<int>(candidates.size())))];
  }

  void inject_fault() {
    const double duration_s = 1 + draw() * 1.2 * cluster.base_settings.lease_s;
    const int node = draw() < 0.6 && cluster.leader() >= 0 ? cluster.leader() : random_below(3);
    TestCluster::Worker* worker = random_worker();
    const auto kind = static_cast<FaultKind>(random_below(kFaultKinds));
    if (kind <= FaultKind::all_nodes_crash) return inject_node_fault(kind, node, duration_s);
    if (kind < FaultKind::hung_worker || kind > FaultKind::late_commands) {
      return inject_cluster_fault(kind, duration_s);
    }
    if (worker != nullptr) inject_worker_fault(kind, *worker, duration_s);
  }

  void inject_node_fault(FaultKind kind, int node, double duration_s) {
    switch (kind) {
      case FaultKind::state_outage:
        cluster.state_down = true;
        return end_after(draw() < 0.2 ? cluster.base_settings.cancel_s * 1.2 : duration_s,
                         [this] { cluster.state_down = false; });
      case FaultKind::node_refused_by_state:
        cluster.refused_by_state.insert(node);
        return end_after(duration_s, [this, node] { cluster.refused_by_state.erase(node); });
      case FaultKind::node_cut_from_state:
        cluster.cut_from_state.insert(node);
        if (draw() < 0.5) cluster.cut_from_peers.insert(node);
        return end_after(duration_s, [this, node] {
          cluster.cut_from_state.erase(node);
          cluster.cut_from_peers.erase(node);
        });
      case FaultKind::node_cut_from_workers:
        cluster.cut_from_workers.insert(node);
        return end_after(duration_s, [this, node] { cluster.cut_from_workers.erase(node); });
      case FaultKind::node_crash:
      case FaultKind::node_crash_again:
        if (!cluster.is_up(node)) return;
        cluster.crash_node(node);
        return end_after(draw() < 0.4 ? 0.3 : 8 * draw(), [this, node] { restart(node); });
      default:
        for (int i = 0; i < 3; ++i) {
          if (cluster.is_up(i)) cluster.crash_node(i);
          end_after(0.2 + 6 * draw(), [this, i] { restart(i); });
        }
    }
  }

  void restart(int node) {
    if (!cluster.is_up(node)) cluster.start_node(node);
  }

  void inject_cluster_fault(FaultKind kind, double duration_s) {
    constexpr double kShare = 0.4;
    switch (kind) {
      case FaultKind::late_writes:
        cluster.late_write_share = kShare;
        return end_after(duration_s, [this] { cluster.late_write_share = 0; });
      case FaultKind::lost_write_responses:
        cluster.lost_write_response_share = kShare;
        return end_after(duration_s, [this] { cluster.lost_write_response_share = 0; });
      case FaultKind::late_heartbeats:
        cluster.late_heartbeat_share = kShare;
        return end_after(duration_s, [this] { cluster.late_heartbeat_share = 0; });
      case FaultKind::zone_cut:
        cluster.isolated_zones = {draw() < 0.5 ? "a" : "b"};
        return end_after(duration_s, [this] { cluster.isolated_zones.clear(); });
      default:
        cluster.max_state_delay_s = 0.5;
        cluster.cloud_down = draw() < 0.5;
        return end_after(duration_s, [this] {
          cluster.max_state_delay_s = 0;
          cluster.cloud_down = false;
        });
    }
  }

  void inject_worker_fault(FaultKind kind, TestCluster::Worker& worker, double duration_s) {
    switch (kind) {
      case FaultKind::hung_worker:
        worker.is_hung = true;
        return end_after(duration_s, [this, &worker] { cluster.resume_worker(worker); });
      case FaultKind::worker_cannot_receive:
        worker.cannot_receive = true;
        return end_after(duration_s, [&worker] { worker.cannot_receive = false; });
      case FaultKind::worker_cannot_send:
        worker.cannot_send = true;
        return end_after(duration_s, [&worker] { worker.cannot_send = false; });
      default:
        worker.command_delay_s = 1 + 6 * draw();
        return end_after(duration_s, [&worker] { worker.command_delay_s = 0; });
    }
  }

  void fail_new_tasks() {
    constexpr double kMaxDurationS = 60;
    const TestCluster::Worker* worker = random_worker();
    if (worker == nullptr) return;
    cluster.new_tasks_fail_since[worker->id] = cluster.reactor.now();
    end_after(kMaxDurationS * draw(),
              [this, id = worker->id] { cluster.new_tasks_fail_since.erase(id); });
  }

  void end_faults(bool all) {
    for (std::size_t i = 0; i < active_faults_.size();) {
      if (!all && active_faults_[i].ends_at > cluster.reactor.now()) {
        ++i;
        continue;
      }
      const auto end = std::move(active_faults_[i].end);
      active_faults_.erase(active_faults_.begin() + static_cast<std::ptrdiff_t>(i));
      end();
    }
  }

  // ---- jobs ----

  /// Adds up to three accepted jobs as dependencies; not services, which run until cancelled.
  void add_dependencies(wire::JobSpec& job) {
    std::vector<std::string> candidates;
    for (const auto& id : cluster.rules.accepted_jobs()) {
      if (cluster.rules.spec(id)->kind == JobKind::job_array) candidates.push_back(id);
    }
    for (int i = random_below(3); i >= 0 && !candidates.empty(); --i) {
      // Prefers the latest job, so that dependency chains form.
      const int last = static_cast<int>(candidates.size()) - 1;
      const int chosen = draw() < 0.6 ? last : random_below(last + 1);
      job.dependencies.push_back(candidates[static_cast<std::size_t>(chosen)]);
      candidates.erase(candidates.begin() + chosen);
    }
  }

  void add_job() {
    const bool array = draw() < 0.6;
    // One draw a statement: the order of a call's arguments differs between processors.
    const auto tasks = 1 + static_cast<std::uint32_t>(random_below(3));
    const double gpus = 1 + 3 * random_below(2);
    const std::string team = draw() < 0.5 ? "red" : "blue";
    auto job = make_job(job_id(submitted_++), array ? JobKind::job_array : JobKind::service, tasks,
                        gpus, team)
                   .spec;
    const int constraint = random_below(6);
    if (constraint == 0) job.one_zone = true;
    if (constraint == 1) job.spread = true;
    if (constraint == 2) job.zone = draw() < 0.5 ? "a" : "b";
    job.priority = draw() < 0.3 ? wire::Priority::production : wire::Priority::standard;
    if (pipelines && draw() < 0.5) add_dependencies(job);
    if (gangs && array && draw() < 0.5) job.kind = JobKind::gang;
    UserBehavior behavior;
    behavior.queries_all_nodes = draw() < 0.3;
    // Services run until they are cancelled.
    if (!array) behavior.cancel_after_s = 20 + 60 * draw();
    if (array && draw() < 0.3) behavior.cancel_after_s = 15 * draw();
    if (array && draw() < 0.15) behavior.cancel_at_end = true;
    cluster.add_user(job, behavior);
  }

  int ended_jobs() const {
    int ended = 0;
    for (const auto& id : cluster.rules.accepted_jobs()) {
      ended += cluster.rules.outcome(id).empty() ? 0 : 1;
    }
    return ended;
  }

  std::string unfinished_records() {
    std::string records;
    for (const auto& id : cluster.rules.accepted_jobs()) {
      if (!cluster.rules.outcome(id).empty()) continue;
      records += "\n" + cluster.state_service.values["jobs/" + id].data;
    }
    return records;
  }

  std::mt19937 random_;
  std::vector<ActiveFault> active_faults_;
  int submitted_ = 0;

 public:
  TestCluster cluster;
};

class OverlappingFaults : public SeededTest {};

TEST_P(OverlappingFaults, ViolatesNoRuleAndEndsAllJobs) {
  RandomizedCluster randomized(GetParam());
  randomized.run();
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlappingFaults, ::testing::Range(1U, 151U));

class OverlappingFaultsWithPipelines : public OverlappingFaults {};

// Half of the jobs depend on others, and the state service lowers its limits halfway.
TEST_P(OverlappingFaultsWithPipelines, ViolatesNoRuleAndEndsAllJobs) {
  RandomizedCluster randomized(GetParam());
  randomized.pipelines = true;
  randomized.cluster.state_service.enforces_write_rate = true;
  randomized.end_after(kFaultPhaseS / 2, [&randomized] {
    randomized.cluster.state_service.limits = {2048, 4, 21};
  });
  randomized.run();
  EXPECT_EQ(randomized.cluster.state_service.refused_as_too_large, 0);
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlappingFaultsWithPipelines, ::testing::Range(1001U, 1121U));

class OverlappingFaultsWithGangs : public OverlappingFaults {};

// Guards against gangs that are done in part, and against gangs that were broken off and count as
// done.
TEST_P(OverlappingFaultsWithGangs, ViolatesNoRuleAndEndsAllJobs) {
  RandomizedCluster randomized(GetParam());
  randomized.gangs = true;
  randomized.run();
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlappingFaultsWithGangs, ::testing::Range(201U, 321U));

class OverlappingFaultsWithFailingMachines : public OverlappingFaults {};

// Guards against machines and jobs that are kept apart for good after tasks have failed. Half of
// the seeds have gangs.
TEST_P(OverlappingFaultsWithFailingMachines, ViolatesNoRuleAndEndsAllJobs) {
  RandomizedCluster randomized(GetParam());
  randomized.failing_machines = true;
  randomized.gangs = GetParam() % 4 < 2;
  randomized.run();
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlappingFaultsWithFailingMachines, ::testing::Range(401U, 521U));

class OverlappingFaultsWithDeferredJobs : public OverlappingFaults {};

// Guards against jobs that are lost, or rules that break, while most waiting jobs are not held.
TEST_P(OverlappingFaultsWithDeferredJobs, ViolatesNoRuleAndEndsAllJobs) {
  RandomizedCluster randomized(GetParam());
  randomized.pipelines = GetParam() % 2 == 0;
  randomized.gangs = GetParam() % 4 < 2;
  randomized.run();
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlappingFaultsWithDeferredJobs,
                         ::testing::Range(kFirstSeedWithLittleMemory,
                                          kFirstSeedWithLittleMemory + 120));

}  // namespace
}  // namespace cranklock::testing
