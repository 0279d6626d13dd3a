// What a lab run plays, read from a TOML file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/messages.hpp"

namespace cranklock::lab {

/// One region: its controllers, one in each of its zones in turn, and its fleet.
struct RegionPlan {
  std::string name;
  std::vector<std::string> zones;
  int controllers = 1, workers = 1;
  double first_share = 0;  ///< of each team's limit
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

struct LabPlan {
  /// The time before the first submission, that of submissions, and that for what is under way.
  double settle_s = 3, duration_s = 30, drain_s = 20;
  double ramp_s = 0;  ///< over which each class's initial jobs are submitted
  double peak_from_s = 0, peak_for_s = 0, peak_factor = 1;
  int teams = 12;
  double guarantee_gpus = 8, limit_gpus = 16;  ///< of each team
  double report_s = 4, lease_s = 22, cancel_s = 52, boot_s = 5;
  double fetch_s = 0.5;
  double worker_gpus = 8;
  double state_write_rps = 120;
  int fd_limit = 2208;
  double ram_mb = 256;
  std::vector<RegionPlan> regions;
  std::vector<ClassPlan> classes;
  std::vector<FaultPlan> faults;
};

/// Throws base::SettingsError that names the file, the field and what was expected.
LabPlan load_plan(const std::string& path);

}  // namespace cranklock::lab
