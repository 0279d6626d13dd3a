// The plan of a lab run, read from a TOML file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/client_api.hpp"

namespace cranklock::lab {

/// One region: its fleet and its controllers, which are spread over its zones round-robin.
struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
  int controllers = 1, workers = 1;
  double initial_share = 0;  ///< fraction of each team's limit held at the start
};

/// Jobs of one class. Regions are drawn with probabilities proportional to their workers.
struct ClassPlan {
  wire::JobSpec spec;     ///< without id and team; `estimate_s` is the tasks' run time
  double jobs_per_s = 0;  ///< summed over all regions, outside the peak
  int initial = 0;        ///< jobs submitted in the first ramp_s, summed over all regions
  /// Fraction of the jobs that users cancel, at a random time before submissions end.
  double cancelled_share = 0;
};

/// A fault that begins `at_s` after the start of submissions and lasts for `for_s`.
struct FaultPlan {
  enum class Kind {
    region_apart,
    controller_crash,  ///< of the region's leader
    all_controllers_crash,
    state_down,
    agents_mute,      ///< agents send no heartbeats; commands still reach them
    commands_late,    ///< commands to agents are executed late and not answered
    requests_copied,  ///< what controllers requested is executed again, also when they restart
    machines_fail,    ///< tasks that begin to run on them fail; earlier ones go on
  };
  Kind kind = Kind::region_apart;
  std::string region;
  double at_s = 0, for_s = 0;
  double share = 1;  ///< fraction of the region's agents, or of the requests, that are affected
};

/// Fragmentation scenario: a fleet with fragmented free capacity, chat traffic to replicas, and a
/// gang that needs whole machines (lab/fragments.toml).
struct FragmentationPlan {
  bool moves = true;         ///< whether the controllers carry out defragmentation moves
  double piece_gpus = 3;     ///< size of each worker's replica; job arrays fill the rest at first
  double filler_run_s = 6;   ///< run time of the arrays' tasks
  int replicas_per_job = 8;  ///< maximum number of replicas in a service job
  double chats_per_s = 4;    ///< rate of new chats, summed over all services
  /// Peak of the chat rate: its start after that of chat traffic, its duration, and the factor by
  /// which the rate rises.
  double rush_from_s = 0, rush_for_s = 0, rush_factor = 1;
  int turns = 6;             ///< requests in a chat
  double turn_s = 0.3;       ///< time a replica takes to answer a request
  double pause_s = 0.7;      ///< mean time between an answer and the user's next request
  double endless_share = 0;  ///< fraction of chats that last until the end of the run
  int max_chats = 20;        ///< capacity of a replica
  /// Delay from the start of chat traffic to the gang's submission, and how long the chats continue
  /// at the end.
  double demand_after_s = 4;
  int demand_tasks = 2;      ///< tasks of the gang; each needs a whole worker
  bool kill_leader = false;  ///< whether the leader is killed during the first plan of moves
  double kill_after_s = 1;   ///< delay of the kill after that plan began
};

struct LabPlan {
  /// Durations of the phases: before the first submission, of submissions, and for running work to
  /// end. In a fragmentation run the last two are also timeouts of its steps.
  double settle_s = 3, duration_s = 30, drain_s = 20;
  double ramp_s = 0;  ///< time over which each class's initial jobs are submitted
  /// Peak of the submission rate: its start after that of submissions, its duration, and the factor
  /// by which the rate rises.
  double peak_from_s = 0, peak_for_s = 0, peak_factor = 1;
  int teams = 12;
  double guarantee_gpus = 8, limit_gpus = 16;  ///< of each team
  double heartbeat_interval_s = 4, lease_s = 22, cancel_s = 52, boot_s = 5;
  double gang_wait_s = 30, gang_peer_s = 5;
  double fetch_s = 0.5;
  double worker_gpus = 8;
  double state_write_rps = 120;
  int fd_limit = 2208;
  double ram_mb = 256;
  std::vector<RegionPlan> regions;
  std::vector<ClassPlan> classes;
  std::vector<FaultPlan> faults;
  unsigned seed = 1;  ///< of all random numbers
  std::optional<FragmentationPlan> fragments;
};

/// `changes` override fields of the file, such as "fragments.moves=false". Throws a
/// base::SettingsError that names the file, the field and the expected value.
LabPlan load_plan(const std::string& path, const std::vector<std::string>& changes = {});

}  // namespace cranklock::lab
