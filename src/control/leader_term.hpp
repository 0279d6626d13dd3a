// One leader term: what the leader knows and does, from the write that took the leadership until it
// is lost.
#pragma once

#include <memory>
#include <string>

#include "control/command_sender.hpp"
#include "control/decision_loop.hpp"
#include "control/heartbeat_handler.hpp"
#include "control/job_watcher.hpp"
#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "control/move_service.hpp"
#include "control/outcome_reader.hpp"
#include "control/pool_scaler.hpp"
#include "control/record_reloader.hpp"
#include "control/record_writer.hpp"
#include "control/services.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "regions/quota_service.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Owns the cluster state and wires the parts that act on it. Made by the election when it has
/// acquired the leadership, loaded once, then started; destroying it ends all that its parts have
/// under way.
class LeaderTerm {
 public:
  /// What has become of loading.
  enum class LoadOutcome {
    loaded,
    store_unavailable,  ///< a read was refused or not answered; another try may succeed
    ineligible,         ///< this controller's settings don't let it lead
  };

  /// `lost` is set when the leadership is found to be lost. `regions` reaches the leaders of other
  /// regions; nullptr where the settings name none. All that is referred to outlives the term.
  LeaderTerm(Services services, LeaderLease& lease, net::Signal& lost,
             regions::RegionNetwork* regions);

  /// The failover: reads quota shares, machine types, pools, live jobs and the plan of moves.
  net::Task<LoadOutcome> load();
  /// Starts the routines of all parts, after load(). The scope is cleared before the term goes.
  void start(net::Scope& scope);

  bool is_lost() const { return status_.is_lost(); }
  void step_down(LeadershipLoss loss) { status_.step_down(loss); }

  /// Responds to agents and forwarders.
  HeartbeatHandler& heartbeats() { return heartbeats_; }
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
    heartbeats_.on_peer_heartbeat(peer_heartbeat);
  }
  /// Takes a frame from another region's leader.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);
  /// No agent has been heard for so long that this controller may be cut off from them.
  bool agents_silent() const { return heartbeats_.agents_silent(); }

  sched::ClusterState& cluster() { return cluster_; }
  /// Quota shared with other regions; nullptr where the settings name no regions.
  const regions::QuotaService* quotas() const { return quota_shares_.get(); }

 private:
  std::unique_ptr<regions::QuotaService> make_quota_shares(regions::RegionNetwork* regions);
  std::unique_ptr<MoveService> make_moves();
  net::Task<LoadOutcome> load_quota_shares();
  net::Task<LoadOutcome> load_machine_types();
  /// What the decision loop and the command sender are told of jobs.
  JobWatcher::Callbacks job_callbacks();
  /// What quota shares ask of the cluster state and tell the decision loop.
  regions::QuotaService::Callbacks quota_callbacks();

  LeadershipStatus status_;
  sched::ClusterState cluster_;
  net::Signal work_;
  LeaderContext context_;

  // The parts. Each may refer to those above it, and to those below it only once the term runs.
  MachineLifecycle machines_;
  HeartbeatHandler heartbeats_;
  OutcomeReader outcomes_;
  RecordReloader reloader_;
  JobWatcher jobs_;
  RecordWriter writer_;
  CommandSender commands_;
  PoolScaler scaler_;
  std::unique_ptr<regions::QuotaService> quota_shares_;
  std::unique_ptr<MoveService> moves_;  ///< nullptr: the operator allows no moves
  DecisionLoop decisions_;
};

}  // namespace cranklock::control
