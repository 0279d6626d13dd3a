// Settings of the process: the platform's (TOML) and the operator's (XML).
#pragma once

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/defrag_settings.hpp"
#include "base/region_settings.hpp"

namespace cranklock::base {

/// The message names the file, the field and the expected value.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Team {
  std::string name;
  /// Guarantees and limits (`_max`); 0: no guarantee, or no limit.
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Peer {
  std::string name, zone, address;
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};

/// Thresholds, windows and step sizes of the scaler. DESIGN gives the initial defaults;
/// docs/design.md records which were changed after measurements.
struct ScalerSettings {
  double interval_s = 2.0;  ///< between two evaluations
  /// A pool is scaled out if its score stays above `high_score` for the scale-out window, and
  /// scaled in if it stays below `low_score` for the scale-in window.
  double high_score = 0.85, low_score = 0.75;
  double scale_out_window_s = 2.0, scale_in_window_s = 30.0;
  /// Minimum time since the pool's last scaling.
  double scale_out_cooldown_s = 4.0, scale_in_cooldown_s = 10.0;
  /// A scale-out step adds the missing machines, at most the larger of a number of machines and a
  /// share of the pool.
  int max_scale_out_step_machines = 50;
  double max_scale_out_step_share = 0.25;
  /// A scale-in step removes the larger of a number of machines and a share of the pool.
  int scale_in_step_machines = 1;
  double scale_in_step_share = 0.05;
  int min_machines = 0;        ///< per pool
  int max_machines = 100'000;  ///< per pool; the cloud's capacity is reached long before
};

struct OperatorSettings {
  ScalerSettings scaler;
  /// Boot timeout of a machine, as a multiple of its expected boot time.
  double boot_timeout_factor = 3.0;
  RegionSettings regions;
  DefragSettings defrag;
};

struct Settings {
  std::string name, zone, listen, peer_listen;
  std::vector<Peer> others;                  ///< the other controllers of the region
  std::string cloud_address, state_address;  ///< of the cloud's API and the key-value store
  int nodes = 1;                             ///< controllers of the region, including this one
  std::vector<std::string> zones;
  double clock_error_s = 1.0;  ///< maximum error of the wall clock of a machine
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3, lease_s = 30, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 50;
  /// Limits of the key-value store. Each is the smaller of the current limit and the one that
  /// `state.next` announces, which can take effect without notice.
  double state_rps = 100, state_write_rps = 30, value_kb = 8;
  int txn_ops = 12;
  double cloud_rps = 5, list_lag_s = 8;
  int fd_limit = 500;
  double core_share = 1;  ///< share of a processor core that this controller may use
  double ram_mb = 128;    ///< memory limit; the platform kills a process that exceeds it
  OperatorSettings operator_settings;

  /// Whether a controller runs in this zone.
  bool has_controller_in(const std::string& zone_name) const {
    return zone == zone_name || std::any_of(others.begin(), others.end(), [&](const Peer& peer) {
             return peer.zone == zone_name;
           });
  }
  /// Returns nullptr if no team has this name.
  const Team* find_team(const std::string& team_name) const {
    for (const auto& team : teams) {
      if (team.name == team_name) return &team;
    }
    return nullptr;
  }
};

/// Maximum number of connections from agents and clients: six tenths of the file descriptors. An
/// eighth of that is used in addition while new connections replace closing ones.
inline std::size_t max_public_connections(const Settings& settings) {
  return static_cast<std::size_t>(settings.fd_limit) * 6 / 10;
}

/// Bytes of a share of the memory limit.
inline double memory_bytes(const Settings& settings, double share) {
  constexpr double kBytesPerMb = 1024.0 * 1024;
  return settings.ram_mb * kBytesPerMb * share;
}

/// Throws SettingsError.
Settings load_settings(const std::string& toml_path, const std::string& xml_path);

/// Seconds after its last confirmed renewal during which a leader may respond to heartbeats. Even
/// if a successor has confirmed a cancellation in the meantime, the lease of every agent that got a
/// response expires within cancel_s of that confirmation.
inline double response_window_s(const Settings& settings) {
  return (settings.cancel_s - settings.lease_s) * 0.9;
}

/// Processor time of one packet, sent or received, in seconds of a core, as measured
/// (docs/profile.md).
inline constexpr double kCpuSecondsPerPacket = 0.00005;

/// Maximum relative drift between the steady clocks of two machines.
inline constexpr double kMaxClockDrift = 0.0005;

}  // namespace cranklock::base
