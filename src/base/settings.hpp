// The platform's settings (TOML) and the operator's own (XML).
#pragma once

#include <algorithm>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/defrag_settings.hpp"
#include "base/region_settings.hpp"

namespace cranklock::base {

/// Names the file, the field and what was expected.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;  ///< 0: that amount is not looked at
};

struct Peer {
  std::string name, zone, address;
};

struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0;
};

/// The scaler's figures. DESIGN gives the first defaults; docs/design.md says which were measured
/// and changed.
struct ScalerSettings {
  double every_s = 2.0;
  double high = 0.85, low = 0.75;
  double up_window_s = 2.0, down_window_s = 30.0;
  double up_cooldown_s = 4.0, down_cooldown_s = 10.0;
  /// A step up is what is missing, but never more than the larger of so many machines and this
  /// share of the pool.
  int max_step = 50;
  double max_step_share = 0.25;
  int step_machines = 1;       ///< a step down is the larger of this
  double step_share = 0.05;    ///< and this share of the pool
  int min_machines = 0;        ///< per pool
  int max_machines = 100'000;  ///< per pool; what the cloud has is the limit long before
};

struct OperatorSettings {
  ScalerSettings scaler;
  double boot_patience = 3.0;  ///< times ReadyS after which a boot is given up
  RegionSettings regions;
  DefragSettings defrag;
};

struct Settings {
  std::string name, zone, listen, peer_listen;
  std::vector<Peer> others;
  std::string cloud, state;
  int nodes = 1;
  std::vector<std::string> zones;
  double clock_error_s = 1.0;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 3, lease_s = 30, gang_wait_s = 45, gang_peer_s = 4, cancel_s = 50;
  /// Limits of the state service: of each, the smaller of what holds now and what `state.next`
  /// announces, which comes without notice.
  double state_rps = 100, state_write_rps = 30, value_kb = 8;
  int txn_ops = 12;
  double cloud_rps = 5, list_lag_s = 8;
  int fd_limit = 500;
  double core_share =
      1;                ///< of one processor core, that this node may use; 1 where it is not given
  double ram_mb = 128;  ///< beyond which the platform ends the process; 128 where it is not given
  OperatorSettings operators;

  /// Whether a controller stands in this zone.
  bool has_node(const std::string& zone_name) const {
    return zone == zone_name || std::any_of(others.begin(), others.end(), [&](const Peer& peer) {
             return peer.zone == zone_name;
           });
  }
  const Team* team(const std::string& team_name) const {
    for (const auto& t : teams) {
      if (t.name == team_name) return &t;
    }
    return nullptr;
  }
};

/// Of the sockets, six tenths are for connections of workers and users; an eighth of that comes on
/// top while one goes for another.
inline std::size_t public_connections(const Settings& settings) {
  return static_cast<std::size_t>(settings.fd_limit) * 6 / 10;
}

/// Throws SettingsError.
Settings load_settings(const std::string& toml_path, const std::string& xml_path);

/// How long after its last certain renewal a leader may answer reports: even if a successor has
/// promised a cancellation meanwhile, the lease of every worker answered until then ends within
/// cancel_s of that promise.
inline double response_span(const Settings& s) {
  return (s.cancel_s - s.lease_s) * 0.9;
}

/// Seconds of a core that a packet costs a node, sent or received, as measured (docs/profile.md).
inline constexpr double kPacketCost = 0.00005;

/// The share by which steady clocks of two machines may drift apart.
inline constexpr double kClockDrift = 0.0005;

}  // namespace cranklock::base
