// What a lab run plays, read from a TOML file.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/client_api.hpp"

namespace cranklock::lab {

/// One region: its controllers, one in each of its zones in turn, and its fleet.
struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
  int controllers = 1, workers = 1;
  double initial_share = 0;  ///< of each team's limit
};

/// Jobs of one class, submitted in every region by its part of the fleet.
struct ClassPlan {
  wire::JobSpec spec;          ///< without id and team; `estimate_s` is how long its tasks run
  double jobs_per_s = 0;       ///< over all regions, outside the peak
  int initial = 0;             ///< over all regions, within ramp_s
  double cancelled_share = 0;  ///< by their users, at some time before the end of the run
};

struct FaultPlan {
  enum class Kind { region_apart, controller_crash, state_down };
  Kind kind = Kind::region_apart;
  std::string region;
  double at_s = 0, for_s = 0;
};

/// A fleet in pieces, chats, and a gang that asks for whole machines (lab/fragments.toml).
struct FragmentsPlan {
  bool moves = true;         ///< carried out by the controllers
  double piece_gpus = 3;     ///< of the replica on each worker; arrays fill the rest and end
  double filler_run_s = 6;   ///< of those arrays
  int replicas_per_job = 8;  ///< of a service
  double chats_per_s = 4;    ///< begun, with all services
  double rush_from_s = 0, rush_for_s = 0, rush_factor = 1;  ///< from the first chat on
  int turns = 6;                                            ///< requests of a chat
  double turn_s = 0.3;                                      ///< a replica's time for an answer
  double pause_s = 0.7;                                     ///< of a user between two requests
  double endless_share = 0;                                 ///< of chats that end only with the run
  int max_chats = 20;                                       ///< that a replica carries
  double demand_after_s = 4;                                ///< from the first chat on
  int demand_tasks = 2;                                     ///< each takes a whole worker
  bool kill_leader = false;                                 ///< in the middle of its first plan
  double kill_after_s = 1;                                  ///< since the plan began
};

struct LabPlan {
  /// The time before the first submission, that of submissions, and that for what is under way.
  double settle_s = 3, duration_s = 30, drain_s = 20;
  double ramp_s = 0;  ///< over which each class's initial jobs are submitted
  double peak_from_s = 0, peak_for_s = 0, peak_factor = 1;
  int teams = 12;
  double guarantee_gpus = 8, limit_gpus = 16;  ///< of each team
  double heartbeat_interval_s = 4, lease_s = 22, cancel_s = 52, boot_s = 5;
  double fetch_s = 0.5;
  double worker_gpus = 8;
  double state_write_rps = 120;
  int fd_limit = 2208;
  double ram_mb = 256;
  std::vector<RegionPlan> regions;
  std::vector<ClassPlan> classes;
  std::vector<FaultPlan> faults;
  unsigned seed = 1;  ///< of everything that is drawn
  std::optional<FragmentsPlan> fragments;
};

/// `changes` are fields that differ from the file, such as "fragments.moves=false". Throws
/// base::SettingsError that names the file, the field and what was expected.
LabPlan load_plan(const std::string& path, const std::vector<std::string>& changes = {});

}  // namespace cranklock::lab
