// A sweep of short clusters in which troubles overlap at random, the same ones every time. The
// rule checker of each watches all rules; afterwards every job must be served.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "test_cluster.hpp"

namespace cranklock::testing {
namespace {

using wire::JobKind;

constexpr double kTrouble = 90;  ///< seconds of it
constexpr double kServed = 150;  ///< then everything must be

struct Sweep {
  explicit Sweep(unsigned seed) : dice(seed), w(3, zones(seed), figures(seed)) {
    w.random.seed(seed);
    w.run_s = 4 + static_cast<double>(seed % 3) * 8;
    if (seed % 4 == 1) w.unlisted_s = 6;
    if (seed % 5 == 2) w.keeps_heartbeats = true;
    if (seed % 3 == 2) w.kept_s = 2;
  }

  static std::vector<std::string> zones(unsigned seed) {
    return seed % 2 == 0 ? std::vector<std::string>{"a", "a", "a"}
                         : std::vector<std::string>{"a", "a", "b"};
  }
  static base::Settings figures(unsigned seed) {
    auto s = small_settings();
    s.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 12}};
    if (seed % 3 == 1) s.heartbeat_interval_s = 2, s.lease_s = 15, s.cancel_s = 30;
    if (seed % 3 == 2) s.heartbeat_interval_s = 2, s.lease_s = 29, s.cancel_s = 40;
    s.state_rps = 200;
    if (seed > 1000) s.value_kb = 2, s.txn_ops = 4, s.state_write_rps = 21;
    return s;
  }
  double roll() { return std::uniform_real_distribution<>(0, 1)(dice); }
  int pick(int n) { return static_cast<int>(roll() * n) % n; }

  /// Something that begins now and ends by itself.
  struct Trouble {
    double until;
    std::function<void()> end;
  };
  std::vector<Trouble> troubles;
  void begin(double for_s, std::function<void()> end) {
    troubles.push_back({w.reactor.now() + for_s, std::move(end)});
  }

  TestCluster::Worker* any_worker() {
    std::vector<TestCluster::Worker*> there;
    for (auto& [id, worker] : w.workers) {
      if (!worker->gone) there.push_back(worker.get());
    }
    return there.empty() ? nullptr
                         : there[static_cast<std::size_t>(pick(static_cast<int>(there.size())))];
  }

  void start_trouble() {
    const double span = 1 + roll() * 1.2 * w.base_settings.lease_s;
    const int node = roll() < 0.6 && w.leader() >= 0 ? w.leader() : pick(3);
    TestCluster::Worker* worker = any_worker();
    switch (pick(16)) {
      case 0:
        w.state_down = true;
        return begin(roll() < 0.2 ? w.base_settings.cancel_s * 1.2 : span,
                     [this] { w.state_down = false; });
      case 1:
        w.refused_by_state.insert(node);
        return begin(span, [this, node] { w.refused_by_state.erase(node); });
      case 2:
        w.cut_from_state.insert(node);
        if (roll() < 0.5) w.cut_from_peers.insert(node);
        return begin(span, [this, node] {
          w.cut_from_state.erase(node);
          w.cut_from_peers.erase(node);
        });
      case 3:
        w.cut_from_workers.insert(node);
        return begin(span, [this, node] { w.cut_from_workers.erase(node); });
      case 4:
      case 5:
        if (!w.is_up(node)) return;
        w.crash_node(node);
        return begin(roll() < 0.4 ? 0.3 : 8 * roll(), [this, node] {
          if (!w.is_up(node)) w.start_node(node);
        });
      case 6:
        for (int i = 0; i < 3; ++i) {
          if (w.is_up(i)) w.crash_node(i);
          begin(0.2 + 6 * roll(), [this, i] {
            if (!w.is_up(i)) w.start_node(i);
          });
        }
        return;
      case 7:
        w.late_txns = 0.4;
        return begin(span, [this] { w.late_txns = 0; });
      case 8:
        w.lost_txns = 0.4;
        return begin(span, [this] { w.lost_txns = 0; });
      case 9:
        w.late_heartbeats = 0.4;
        return begin(span, [this] { w.late_heartbeats = 0; });
      case 10:
        if (worker == nullptr) return;
        worker->hangs = true;
        return begin(span, [this, worker] { w.wake(*worker); });
      case 11:
        if (worker == nullptr) return;
        worker->cannot_receive = true;
        return begin(span, [worker] { worker->cannot_receive = false; });
      case 12:
        if (worker == nullptr) return;
        worker->cannot_send = true;
        return begin(span, [worker] { worker->cannot_send = false; });
      case 13:
        if (worker == nullptr) return;
        worker->commands_late_s = 1 + 6 * roll();
        return begin(span, [worker] { worker->commands_late_s = 0; });
      case 14:
        w.cut_zones = {roll() < 0.5 ? "a" : "b"};
        return begin(span, [this] { w.cut_zones.clear(); });
      default:
        w.state_slow_s = 0.5;
        w.cloud_down = roll() < 0.5;
        return begin(span, [this] {
          w.state_slow_s = 0;
          w.cloud_down = false;
        });
    }
  }

  void end_troubles(bool all) {
    for (std::size_t i = 0; i < troubles.size();) {
      if (!all && troubles[i].until > w.reactor.now()) {
        ++i;
        continue;
      }
      const auto end = std::move(troubles[i].end);
      troubles.erase(troubles.begin() + static_cast<std::ptrdiff_t>(i));
      end();
    }
  }

  /// Up to three jobs that were accepted before; never services, which users don't name.
  void add_needs(wire::JobSpec& job) {
    std::vector<std::string> candidates;
    for (const auto& id : w.rules.accepted()) {
      if (w.rules.spec(id)->kind == JobKind::job_array) candidates.push_back(id);
    }
    for (int i = pick(3); i >= 0 && !candidates.empty(); --i) {
      // Mostly the latest, so that chains come about.
      const int last = static_cast<int>(candidates.size()) - 1;
      const int which = roll() < 0.6 ? last : pick(last + 1);
      job.dependencies.push_back(candidates[static_cast<std::size_t>(which)]);
      candidates.erase(candidates.begin() + which);
    }
  }

  void add_job() {
    const bool array = roll() < 0.6;
    auto job = make_job("j-" + std::to_string(100'000 + jobs++),
                        array ? JobKind::job_array : JobKind::service,
                        1 + static_cast<std::uint32_t>(pick(3)), 1 + 3 * pick(2),
                        roll() < 0.5 ? "red" : "blue")
                   .spec;
    const int where = pick(6);
    if (where == 0) job.one_zone = true;
    if (where == 1) job.spread = true;
    if (where == 2) job.zone = roll() < 0.5 ? "a" : "b";
    job.priority = roll() < 0.3 ? wire::Priority::production : wire::Priority::standard;
    if (pipelines && roll() < 0.5) add_needs(job);
    UserHabits habits;
    habits.looks = roll() < 0.3;
    // Services run until they are cancelled.
    if (!array) habits.cancels_after = 20 + 60 * roll();
    if (array && roll() < 0.3) habits.cancels_after = 15 * roll();
    if (array && roll() < 0.15) habits.cancels_at_end = true;
    w.add_user(job, habits);
  }

  void play() {
    w.run(1);
    while (w.reactor.now() < kTrouble) {
      if (jobs < 25 && roll() < 0.35) add_job();
      if (troubles.size() < 4 && roll() < 0.25) start_trouble();
      w.run(1);
      end_troubles(false);
    }
    end_troubles(true);
    // Stages are served one after the other.
    const double served = pipelines ? 1.5 * kServed : kServed;
    const auto over = [this] {
      int n = 0;
      for (const auto& id : w.rules.accepted()) n += w.rules.outcome(id).empty() ? 0 : 1;
      return n;
    };
    for (double t = 0; t < served && over() < jobs; ++t) w.run(1);
    std::string waiting;
    for (const auto& id : w.rules.accepted()) {
      if (w.rules.outcome(id).empty()) waiting += "\n" + w.state_service.values["jobs/" + id].data;
    }
    EXPECT_EQ(over(), jobs) << "not served:" << waiting;
  }

  bool pipelines = false;
  std::mt19937 dice;
  TestCluster w;
  int jobs = 0;
};

class Overlap : public ::testing::TestWithParam<unsigned> {
 protected:
  // Only what is wrong is worth reading of so many clusters, unless one is looked at by itself.
  void SetUp() override {
    const bool alone = ::testing::UnitTest::GetInstance()->test_to_run_count() == 1;
    spdlog::set_level(alone ? spdlog::level::debug : spdlog::level::err);
  }
  void TearDown() override { spdlog::set_level(spdlog::level::info); }
};

TEST_P(Overlap, BreaksNoRuleAndAllIsServed) {
  Sweep sweep(GetParam());
  sweep.play();
}

INSTANTIATE_TEST_SUITE_P(Seed, Overlap, ::testing::Range(1U, 151U));

class OverlapWithPipelines : public Overlap {};

// Half of the jobs need others, and the limits of the state service fall in the middle.
TEST_P(OverlapWithPipelines, BreaksNoRuleAndAllIsServed) {
  Sweep sweep(GetParam());
  sweep.pipelines = true;
  sweep.w.state_service.limits_writes = true;
  sweep.begin(kTrouble / 2, [&sweep] { sweep.w.state_service.limits = {2048, 4, 21}; });
  sweep.play();
  EXPECT_EQ(sweep.w.state_service.refused_as_too_large, 0);
}

INSTANTIATE_TEST_SUITE_P(Seed, OverlapWithPipelines, ::testing::Range(1001U, 1121U));

}  // namespace
}  // namespace cranklock::testing
