// Short ways to say what a scenario is about.
#pragma once

#include "sched/placement.hpp"

namespace cranklock::testing {

inline base::Settings small_settings() {
  base::Settings s;
  s.name = "n0";
  s.zone = "a";
  s.nodes = 3;
  s.zones = {"a", "b"};
  s.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 16}};
  s.heartbeat_interval_s = 1;
  s.lease_s = 10;
  s.gang_wait_s = 30;
  s.gang_peer_s = 5;
  s.cancel_s = 40;
  return s;
}

inline wire::MachineType machine_type(const std::string& name = "g8", double gpus = 8) {
  wire::MachineType t;
  t.name = name;
  t.resources = {12 * gpus, gpus, 96 * gpus};
  t.cache_gb = 200;
  t.fetch_gb_per_s = 5;
  t.price = 12;
  t.spot_price = 4;
  t.ready_s = 45;
  t.zones = {"a", "b"};
  return t;
}

inline sched::Job make_job(const std::string& id, wire::JobKind kind, std::uint32_t tasks,
                           double gpus, const std::string& team = "red") {
  sched::Job job;
  job.spec.id = id;
  job.spec.job_class = "c";
  job.spec.team = team;
  job.spec.kind = kind;
  job.spec.tasks = tasks;
  job.spec.resources = {gpus, gpus, 8 * gpus};
  job.spec.image = "img";
  job.spec.image_gb = 10;
  job.created_ms = 1000;
  return job;
}

inline constexpr std::uint64_t kFencingToken = 7;

inline wire::Heartbeat heartbeat(const std::string& machine, std::uint64_t agent_epoch,
                                 std::uint64_t sequence, std::vector<wire::TaskStatus> tasks = {},
                                 std::uint64_t fencing_token = kFencingToken,
                                 const std::string& zone = "a", const std::string& type = "g8") {
  wire::Heartbeat r;
  r.machine = machine;
  r.address = "10.1.0.1:9000";
  r.type = type;
  r.zone = zone;
  r.agent_epoch = agent_epoch;
  r.sequence = sequence;
  r.fencing_token = fencing_token;
  r.tasks = std::move(tasks);
  return r;
}

inline wire::TaskStatus task(const std::string& job, std::uint32_t index, std::uint64_t attempt,
                             wire::TaskState state,
                             wire::ExitReason exit_reason = wire::ExitReason::none) {
  return {{job, index}, attempt, state, exit_reason, false};
}

/// A cluster state with types, and machines that have reported.
struct Fleet {
  base::Settings settings = small_settings();
  sched::ClusterState cluster{settings, kFencingToken, 0};
  std::map<sched::MachineKind, double> refused;

  struct Where {
    std::string id, zone;
  };
  Fleet() : Fleet({{"n-1", "a"}}) {}
  explicit Fleet(std::initializer_list<Where> machines) {
    cluster.set_types({machine_type()});
    for (const auto& [id, zone] : machines) {
      cluster.reconcile_heartbeat(heartbeat(id, 1, 1, {}, kFencingToken, zone), true, 0);
      cluster.record_response(id, 0);
    }
  }
  sched::Job& add(sched::Job job) { return cluster.upsert_job(std::move(job), 0); }
  sched::PassResult pass(double now = 1) {
    return sched::place_waiting_jobs(cluster, refused, now);
  }
  /// What a successful write would do.
  void written(sched::Job& job) {
    std::vector<sched::PlacementKey> ended;
    for (auto& p : job.placements) {
      if (p.ended) ended.push_back(p.key());
      p.write = sched::PlacementWrite::durable;
    }
    cluster.erase_ended(job, ended);
    job.record.dirty = false;
  }
};

}  // namespace cranklock::testing
