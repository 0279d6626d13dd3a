// Prints a digest of all messages of the controllers in fixed scenarios of the simulated cluster.
// If the lines of two versions agree, the versions have sent and received the same bytes at the
// same simulated times, as they must after a change that only renames or moves code. Not part of
// the tests:
//   cmake -S . -B target-bench -DCRANKLOCK_TESTS=ON -DCRANKLOCK_TRAFFIC_DIGEST=ON
//   cmake --build target-bench --target traffic_digest && target-bench/tests/traffic_digest
// One line per scenario and seed: name, seed, messages, hash. With an argument, runs only scenarios
// whose names contain it.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cinttypes>
#include <cmath>
#include <cstdio>

#include "fragments.hpp"
#include "router_stand_in.hpp"
#include "test_cluster.hpp"
#include "two_region_clusters.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

/// The 64-bit FNV-1a hash of all fields added so far. Text is preceded by its length, so that field
/// boundaries are hashed too.
class FowlerNollVoHash {
 public:
  void add(std::uint64_t number) {
    for (int byte = 0; byte < 8; ++byte) add_byte(static_cast<std::uint8_t>(number >> (8 * byte)));
  }
  void add(std::string_view text) {
    add(std::uint64_t{text.size()});
    for (const char c : text) add_byte(static_cast<std::uint8_t>(c));
  }
  std::uint64_t value() const { return value_; }

 private:
  void add_byte(std::uint8_t byte) {
    constexpr std::uint64_t kPrime = 0x100000001b3;
    value_ = (value_ ^ byte) * kPrime;
  }
  std::uint64_t value_ = 0xcbf29ce484222325;  // the FNV-1a offset basis
};

class TrafficDigest {
 public:
  void add(const TrafficEvent& event) {
    constexpr double kMicrosecondsPerS = 1e6;
    ++messages_;
    hash_.add(static_cast<std::uint64_t>(event.kind));
    hash_.add(static_cast<std::uint64_t>(std::llround(event.time_s * kMicrosecondsPerS)));
    hash_.add(event.region);
    hash_.add(static_cast<std::uint64_t>(event.node));
    for (const auto text : {event.address, event.method, event.path, event.query, event.body}) {
      hash_.add(text);
    }
    hash_.add(std::uint64_t{event.response != nullptr});
    if (event.response == nullptr) return;
    hash_.add(static_cast<std::uint64_t>(event.response->status));
    hash_.add(event.response->allow);
    hash_.add(static_cast<std::uint64_t>(event.response->retry_after_s));
    hash_.add(std::uint64_t{event.response->keep_alive});
  }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t hash() const { return hash_.value(); }

 private:
  std::uint64_t messages_ = 0;
  FowlerNollVoHash hash_;
};

/// Seeds the cluster's random numbers, and randomizes heartbeat times and the delays of the state
/// service, so that runs of a scenario differ by seed.
void randomize(TestCluster& cluster, unsigned seed) {
  cluster.random.seed(seed);
  cluster.heartbeat_spread = 0.2;
  cluster.max_state_delay_s = 0.02;
}

wire::JobSpec job(int number, std::uint32_t tasks, JobKind kind = JobKind::job_array,
                  double gpus = 4, const std::string& team = "red") {
  return make_job(job_id(number), kind, tasks, gpus, team).spec;
}

/// Crashes the leader and returns its index; -1 and a test failure if there is none.
int crash_leader(TestCluster& cluster) {
  const int leader = cluster.leader();
  EXPECT_GE(leader, 0);
  if (leader >= 0) cluster.crash_node(leader);
  return leader;
}

/// Adds users with four array jobs and a service, from both teams.
void add_usual_users(TestCluster& cluster) {
  for (int i = 0; i < 4; ++i) {
    cluster.add_user(job(i, 2, JobKind::job_array, 2, i % 2 == 0 ? "red" : "blue"));
  }
  UserBehavior cancels;
  cancels.cancel_after_s = 40;
  cluster.add_user(job(4, 2, JobKind::service, 1), cancels);
}

// ---- controllers that fail ----

void play_leader_crash(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "b"});
  randomize(cluster, seed);
  cluster.run_s = 12;
  cluster.run(1);
  add_usual_users(cluster);
  cluster.run(10 + seed);
  const int old = crash_leader(cluster);
  cluster.run(6);
  if (old >= 0) cluster.start_node(old);
  cluster.run(12);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.crash_node(node);
  cluster.run(2);
  for (int node = 0; node < cluster.nodes(); ++node) cluster.start_node(node);
  cluster.run(40);
}

void play_paused_leader(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "b"});
  randomize(cluster, seed);
  cluster.run_s = 30;
  cluster.run(1);
  add_usual_users(cluster);
  cluster.run(12 + 0.3 * seed);
  const int old = cluster.leader();
  ASSERT_GE(old, 0);
  cluster.pause_node(old);
  cluster.run(25);
  cluster.resume_node(old);
  cluster.run(30);
}

// ---- networks and the state service ----

void play_zone_cut(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "b"});
  randomize(cluster, seed);
  cluster.run_s = 1000;
  cluster.run(1);
  UserBehavior cancels;
  cancels.cancel_after_s = 50;
  for (int i = 0; i < 2; ++i) {
    auto in_zone = job(i, 2, JobKind::service, 2);
    in_zone.zone = "b";
    cluster.add_user(in_zone, i == 0 ? cancels : UserBehavior{});
  }
  auto spread = job(2, 4, JobKind::service, 1, "blue");
  spread.spread = true;
  cluster.add_user(spread);
  cluster.run(25);
  cluster.isolated_zones = {"b"};
  cluster.run(10 + 25 * seed);
  cluster.isolated_zones.clear();
  cluster.cut_from_workers = {cluster.leader()};
  cluster.run(15);
  cluster.cut_from_workers.clear();
  cluster.run(20);
}

void play_state_outage(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "a"});
  randomize(cluster, seed);
  cluster.run_s = 20;
  cluster.run(1);
  add_usual_users(cluster);
  cluster.run(12);
  cluster.refused_by_state = {cluster.leader()};
  cluster.run(8);
  cluster.refused_by_state.clear();
  cluster.run(3);
  cluster.state_down = true;
  cluster.run(15);
  cluster.state_down = false;
  cluster.run(5);
  if (cluster.leader() >= 0) cluster.cut_from_state = {cluster.leader()};
  cluster.run(12);
  cluster.cut_from_state.clear();
  cluster.run(40);
}

void play_late_messages(unsigned seed) {
  TestCluster cluster;
  randomize(cluster, seed);
  cluster.replays_heartbeats = true;
  cluster.replay_delay_s = 1;
  cluster.state_service.enforces_write_rate = true;
  cluster.run(1);
  cluster.late_heartbeat_share = 0.4;
  cluster.late_write_share = 0.3;
  cluster.lost_write_response_share = 0.2;
  for (int i = 0; i < 8; ++i) {
    UserBehavior behavior;
    if (i % 3 == 0) behavior.cancel_after_s = 2.0 * i;
    behavior.cancel_at_end = i % 3 == 1;
    cluster.add_user(job(i, 1 + i % 2, JobKind::job_array, 2), behavior);
    cluster.run(0.5);
  }
  cluster.run(20);
  crash_leader(cluster);
  cluster.run(20);
  cluster.late_heartbeat_share = cluster.late_write_share = cluster.lost_write_response_share = 0;
  for (int node = 0; node < cluster.nodes(); ++node) {
    if (!cluster.is_up(node)) cluster.start_node(node);
  }
  cluster.run(40);
}

// ---- machines and the cloud ----

/// The cloud preempts two of six spot machines with a notice, and one without.
void play_spot_wave(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "b"}, settings_with_moves());
  randomize(cluster, seed);
  cluster.run_s = 25;
  cluster.cloud_without_capacity = true;
  for (int i = 0; i < 8; ++i) {
    cluster.add_worker(i % 2 == 0 ? "a" : "b");
    cluster.workers.at("n-" + std::to_string(i + 1))->kind.spot = i < 6;
  }
  cluster.run(3);
  for (int i = 0; i < 6; ++i) {
    auto batch = job(i, 3, JobKind::job_array, 2, i % 2 == 0 ? "red" : "blue");
    batch.spot = true;
    batch.checkpoint_interval_s = 5;
    batch.checkpoint_save_s = 2;
    cluster.add_user(batch);
  }
  cluster.run(8);
  cluster.workers.at("n-1")->preemption_notice_s = cluster.workers.at("n-2")->preemption_notice_s =
      10;
  cluster.run(9 + 0.5 * seed);
  for (const char* taken : {"n-1", "n-2", "n-3"}) {
    auto& worker = *cluster.workers.at(taken);
    worker.is_deleted = worker.is_hung = true;
    worker.tasks.clear();
  }
  cluster.run(80);
  EXPECT_EQ(cluster.rules.accepted_jobs().size(), 6U);
}

void play_faults(unsigned seed) {
  TestCluster cluster;
  randomize(cluster, seed);
  cluster.faulty_machines = {"n-1"};
  cluster.broken_jobs = {job_id(1)};
  for (int i = 0; i < 2; ++i) cluster.add_worker();
  cluster.run(2);
  for (int i = 0; i < 4; ++i) {
    UserBehavior behavior;
    if (i == 1) behavior.cancel_after_s = 50;
    cluster.add_user(job(i, 2, JobKind::job_array, 4, i % 2 == 0 ? "red" : "blue"), behavior);
  }
  cluster.run(20);
  auto& machine = *cluster.workers.at("n-2");
  machine.is_hung = true;
  cluster.run(4 + 5 * seed);
  cluster.resume_worker(machine);
  machine.command_delay_s = 3;
  cluster.run(10);
  machine.command_delay_s = 0;
  machine.cannot_receive = true;
  cluster.run(15);
  machine.cannot_receive = false;
  cluster.run(30);
}

void play_cloud_trouble(unsigned seed) {
  TestCluster cluster(3, {}, settings_with_moves());
  randomize(cluster, seed);
  cluster.run_s = 20;
  cluster.boot_s = 30;
  cluster.list_delay_s = 5;
  cluster.zones_that_never_boot = {"b"};
  cluster.lost_scale_out_responses = static_cast<int>(seed);
  cluster.run(1);
  for (int i = 0; i < 6; ++i) {
    auto wanted = job(i, 4, JobKind::job_array, 4);
    wanted.spread = i % 2 == 0;
    if (i == 5) wanted.zone = "a";
    cluster.add_user(wanted, i % 2 == 0 ? UserBehavior{60.0 + i, false, false} : UserBehavior{});
    cluster.run(2);
  }
  cluster.run(20);
  cluster.cloud_down = true;
  cluster.run(10);
  cluster.cloud_down = false;
  cluster.run(200);
}

// ---- users and jobs ----

void play_pipeline(unsigned seed) {
  auto settings = small_settings();
  settings.txn_ops = 4;
  settings.state_write_rps = 21;
  TestCluster cluster(3, {}, settings);
  randomize(cluster, seed);
  cluster.state_service.enforces_write_rate = true;
  cluster.run_s = 6;
  cluster.run(8);
  for (int i = 0; i < 14; ++i) {
    auto stage = job(i, 1, JobKind::job_array, 2);
    if (i > 0) stage.dependencies.push_back(job_id((i - 1) / 2));
    if (i > 4) stage.dependencies.push_back(job_id(i - 2));
    UserBehavior behavior;
    if (i == 5) behavior.cancel_after_s = 14.0 + seed;
    cluster.add_user(stage, behavior);
    cluster.run(0.4);
  }
  cluster.run(90);
}

void play_read_storm(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "b"});
  randomize(cluster, seed);
  cluster.run(1);
  for (int i = 0; i < 12; ++i) {
    UserBehavior queries_all;
    queries_all.queries_all_nodes = true;
    cluster.add_user(job(i, 1, JobKind::job_array, 2, i % 2 == 0 ? "red" : "blue"), queries_all);
  }
  std::vector<net::Task<std::optional<net::Response>>> queries;
  for (int round = 0; round < 60; ++round) {
    for (int i = 0; i < 20; ++i) {
      const auto id =
          job_id(static_cast<int>(20 * cluster.random_fraction()));  // some ids are unknown
      queries.push_back(
          cluster.send_user_request(cluster.random_node(), "GET", "/v1/jobs/" + id, ""));
      queries.back().start();
    }
    if (round == 30) crash_leader(cluster);
    cluster.run(0.25);
  }
  cluster.run(20);
}

/// Two machines are full of lowest-priority arrays when a gang of the highest priority needs both.
void play_gang_preemption(unsigned seed) {
  TestCluster cluster(3, {"a", "a", "a"}, settings_with_moves());
  randomize(cluster, seed);
  cluster.run_s = 25;
  cluster.cloud_without_capacity = true;
  for (int i = 0; i < 2; ++i) cluster.add_worker();
  cluster.run(3);
  for (int i = 0; i < 3; ++i) {
    auto low = job(i, 2, JobKind::job_array, i == 0 ? 4 : 2, i == 2 ? "blue" : "red");
    low.priority = wire::Priority::best_effort;
    low.checkpoint_interval_s = 5;
    low.checkpoint_save_s = 1;
    cluster.add_user(low);
  }
  cluster.run(14 + 0.5 * seed);
  auto urgent = job(3, 2, JobKind::gang, 8);
  urgent.priority = wire::Priority::production;
  cluster.add_user(urgent);
  cluster.add_user(job(4, 3, JobKind::gang, 2, "blue"));
  cluster.run(15);
  // All tasks of a gang are stopped when it loses a machine.
  auto& machine = *cluster.workers.at("n-1");
  machine.is_hung = true;
  cluster.run(15);
  cluster.resume_worker(machine);
  cluster.run(120);
  EXPECT_GT(cluster.start_counts[job_id(0) + "/0"], 1);  // preempted by the urgent gang
  EXPECT_GT(cluster.start_counts[job_id(3) + "/0"], 1);
}

// ---- moves ----

void play_moves(unsigned seed) {
  Fragments fragments;
  auto& cluster = fragments.cluster;
  randomize(cluster, seed);
  cluster.max_state_delay_s = 0.1;  // so that the steps of a move take time
  EXPECT_TRUE(fragments.run_after_plan_stored(0.4 * seed));
  const int old = crash_leader(cluster);
  fragments.run(5);
  if (old >= 0) cluster.start_node(old);
  EXPECT_TRUE(fragments.recovers());
  fragments.run(10);
}

/// Replicas move behind a router, and their chats have requests that stay open for a while.
void play_replica_moves(unsigned seed) {
  auto settings = settings_with_moves();
  settings.operator_settings.defrag.drain = {"router", "/drains"};
  Fragments fragments(settings, 3, make_job(kSmallJob, JobKind::service, 4, 3).spec);
  auto& cluster = fragments.cluster;
  randomize(cluster, seed);
  constexpr int kChats = 12, kMaxChats = 20;
  RouterStandIn router{kMaxChats};
  const auto update_replicas = [&] {
    std::vector<RouterStandIn::Replica> replicas;
    for (const auto& [id, worker] : cluster.workers) {
      for (const auto& [task_name, task] : worker->tasks) {
        const auto parsed = *wire::parse_task(task_name);
        const bool serves = parsed.job == kSmallJob && task.state == wire::TaskState::running;
        if (serves) replicas.push_back({parsed, task.attempt, id, worker->address});
      }
    }
    router.set_replicas(std::move(replicas), cluster.reactor.now());
  };
  cluster.router = [&](const net::Request& request) -> std::optional<net::Response> {
    update_replicas();
    return router.handle(request, cluster.reactor.now());
  };
  fragments.run(1);
  fragments.submit_large_job();
  for (int round = 0; round < 200; ++round) {
    update_replicas();
    for (int chat = round % 2; chat < kChats; chat += 2) {
      router.end_request(chat);
      if (round % 7 == 0) router.end_chat(chat);
      router.begin_request(chat, kSmallJob, cluster.reactor.now());
    }
    fragments.run(0.5);
  }
  EXPECT_TRUE(fragments.is_large_job_running());
}

// ---- regions ----

void play_shared_limits(unsigned seed) {
  TwoRegionClusters regions;
  randomize(regions.east, seed);
  randomize(regions.west, seed);
  regions.run(4);
  regions.west.add_user(job(0, 13, JobKind::service, 1));
  regions.run(3 + 0.1 * seed);
  crash_leader(regions.east);
  regions.run(0.3);
  crash_leader(regions.west);
  regions.run(15);
  UserBehavior cancels;
  cancels.cancel_after_s = 10;
  regions.east.add_user(job(1, 3, JobKind::service, 1), cancels);
  regions.run(15);
}

struct Scenario {
  const char* name;
  void (*play)(unsigned seed);
};
constexpr Scenario kScenarios[] = {
    {"leader crash", play_leader_crash},
    {"paused leader", play_paused_leader},
    {"zone cut", play_zone_cut},
    {"state outage", play_state_outage},
    {"late messages", play_late_messages},
    {"spot wave", play_spot_wave},
    {"faulty jobs and machines", play_faults},
    {"cloud trouble", play_cloud_trouble},
    {"pipeline", play_pipeline},
    {"read storm", play_read_storm},
    {"gang preemption", play_gang_preemption},
    {"moves", play_moves},
    {"replica moves", play_replica_moves},
    {"shared limits", play_shared_limits},
};

int print_digests(std::string_view wanted) {
  std::uint64_t messages = 0;
  FowlerNollVoHash total;
  const auto print = [](const char* what, const std::string& seed, std::uint64_t count,
                        std::uint64_t hash) {
    std::printf("%-26s %4s %9" PRIu64 "  %016" PRIx64 "\n", what, seed.c_str(), count, hash);
    std::fflush(stdout);
  };
  for (const auto& scenario : kScenarios) {
    if (std::string_view(scenario.name).find(wanted) == std::string_view::npos) continue;
    for (const unsigned seed : {1U, 2U}) {
      TrafficDigest digest;
      TestCluster::on_traffic = [&](const TrafficEvent& event) { digest.add(event); };
      scenario.play(seed);
      TestCluster::on_traffic = nullptr;
      print(scenario.name, std::to_string(seed), digest.messages(), digest.hash());
      messages += digest.messages();
      total.add(digest.hash());
    }
  }
  print("total", "", messages, total.value());
  // A digest is meaningless if a run violated a rule or failed one of its scenario's checks.
  return ::testing::UnitTest::GetInstance()->ad_hoc_test_result().Failed() ? 1 : 0;
}

}  // namespace
}  // namespace cranklock::testing

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  spdlog::set_level(spdlog::level::off);
  return cranklock::testing::print_digests(argc > 1 ? argv[1] : "");
}
