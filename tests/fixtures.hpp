// Settings, jobs, heartbeats and a small cluster state for tests.
#pragma once

#include "sched/placement.hpp"

namespace cranklock::testing {

inline base::Settings small_settings() {
  base::Settings settings;
  settings.name = "n0";
  settings.zone = "a";
  settings.nodes = 3;
  settings.zones = {"a", "b"};
  settings.teams = {{"red", 0, 0, 8, 16}, {"blue", 0, 0, 8, 16}};
  settings.heartbeat_interval_s = 1;
  settings.lease_s = 10;
  settings.gang_wait_s = 30;
  settings.gang_peer_s = 5;
  settings.cancel_s = 40;
  return settings;
}

inline wire::MachineType machine_type(const std::string& name = "g8", double gpus = 8) {
  wire::MachineType type;
  type.name = name;
  type.resources = {12 * gpus, gpus, 96 * gpus};
  type.cache_gb = 200;
  type.fetch_gb_per_s = 5;
  type.price = 12;
  type.spot_price = 4;
  type.ready_s = 45;
  type.zones = {"a", "b"};
  return type;
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
  wire::Heartbeat message;
  message.machine = machine;
  message.address = "10.1.0.1:9000";
  message.type = type;
  message.zone = zone;
  message.agent_epoch = agent_epoch;
  message.sequence = sequence;
  message.fencing_token = fencing_token;
  message.tasks = std::move(tasks);
  return message;
}

inline wire::TaskStatus task_status(const std::string& job, std::uint32_t index,
                                    std::uint64_t attempt, wire::TaskState state,
                                    wire::ExitReason exit_reason = wire::ExitReason::none) {
  return {{job, index}, attempt, state, exit_reason, false};
}

/// A cluster state with one machine type, and machines that have sent a heartbeat.
struct Fleet {
  base::Settings settings = small_settings();
  sched::ClusterState cluster{settings, kFencingToken, 0};
  std::map<sched::MachineKind, double> refused_until;

  struct MachineLocation {
    std::string id, zone;
  };
  Fleet() : Fleet({{"n-1", "a"}}) {}
  explicit Fleet(std::initializer_list<MachineLocation> machines) {
    cluster.set_types({machine_type()});
    for (const auto& [id, zone] : machines) {
      cluster.reconcile_heartbeat(heartbeat(id, 1, 1, {}, kFencingToken, zone), true, 0);
      cluster.record_response(id, 0);
    }
  }
  sched::Job& add(sched::Job job) { return cluster.upsert_job(std::move(job), 0); }
  sched::PassResult run_pass(double now = 1) {
    return sched::place_waiting_jobs(cluster, refused_until, now);
  }
  /// Marks the job's placements as durably written and erases those that have ended.
  void mark_written(sched::Job& job) {
    std::vector<sched::PlacementKey> ended;
    for (auto& placement : job.placements) {
      if (placement.ended) ended.push_back(placement.key());
      placement.write = sched::PlacementWrite::durable;
    }
    cluster.erase_ended(job, ended);
    job.record.placements.set(job.placements.size());
    job.record.dirty = false;
  }
};

}  // namespace cranklock::testing
