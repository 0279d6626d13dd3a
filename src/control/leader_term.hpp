// One leader term: the leader's state and components, from the write that acquired the leadership
// until the leadership is lost.
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
#include "control/term_log.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "regions/quota_service.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Owns the cluster state and wires the components that act on it. Created by the election after it
/// has acquired the leadership, loaded once, then started. Destroying it cancels all operations of
/// its components.
class LeaderTerm {
 public:
  /// The result of loading.
  enum class LoadOutcome {
    loaded,
    store_unavailable,  ///< a read was refused or not answered; a retry may succeed
    ineligible,         ///< this controller's settings don't let it lead
  };

  /// `lost` is set when the loss of leadership is detected. `regions` connects to the leaders of
  /// other regions; nullptr if the settings name none. All referenced objects must outlive the
  /// term.
  LeaderTerm(Services services, LeaderLease& lease, net::Signal& lost,
             regions::RegionNetwork* regions);

  /// Failover: reads quota shares, machine types, pools, unfinished jobs and the move plan.
  net::Task<LoadOutcome> load();
  /// Starts the coroutines of all components; call after load(). The scope must be cleared before
  /// the term is destroyed.
  void start(net::Scope& scope);

  bool is_lost() const { return status_.is_lost(); }
  void step_down(LeadershipLoss loss) { status_.step_down(loss); }

  /// Responds to agents and forwarders.
  HeartbeatHandler& heartbeats() { return heartbeats_; }
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
    heartbeats_.on_peer_heartbeat(peer_heartbeat);
  }
  /// Handles a frame from the leader of another region.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);
  /// Whether no agent message has arrived for so long that this controller may be cut off from the
  /// agents.
  bool agents_timed_out() const { return heartbeats_.agents_timed_out(); }

  sched::ClusterState& cluster() { return cluster_; }
  /// Logs what this leader has done in its term.
  void log_counters() const { log_.log_counters(); }
  /// Quota shared with other regions; nullptr if the settings name no regions.
  const regions::QuotaService* quotas() const { return quota_shares_.get(); }

 private:
  std::unique_ptr<regions::QuotaService> make_quota_shares(regions::RegionNetwork* regions);
  std::unique_ptr<MoveService> make_moves();
  net::Task<LoadOutcome> load_quota_shares();
  net::Task<LoadOutcome> load_machine_types();
  /// Notify the decision loop and the command sender of changed jobs.
  JobWatcher::Callbacks job_callbacks();
  /// Give the quota service access to the cluster state and the decision loop.
  regions::QuotaService::Callbacks quota_callbacks();

  LeadershipStatus status_;
  sched::ClusterState cluster_;
  net::Signal state_changed_;
  TermCounters counters_;
  LeaderContext context_;
  TermLog log_;

  // Components. Each may use those above it at any time, and those below it only after start().
  MachineLifecycle machines_;
  HeartbeatHandler heartbeats_;
  OutcomeReader outcomes_;
  RecordReloader reloader_;
  JobWatcher jobs_;
  RecordWriter writer_;
  CommandSender commands_;
  PoolScaler scaler_;
  std::unique_ptr<regions::QuotaService> quota_shares_;
  std::unique_ptr<MoveService> moves_;  ///< nullptr: moves are disabled in the settings
  DecisionLoop decisions_;
};

}  // namespace cranklock::control
