// One term of leadership: everything the leader knows and does, from the transaction that took the
// leadership until it is lost. Destroying it cancels its routines.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "control/command_sender.hpp"
#include "control/job_watcher.hpp"
#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "control/move_service.hpp"
#include "control/outcome_reader.hpp"
#include "control/pool_scaler.hpp"
#include "control/record_reloader.hpp"
#include "control/record_writer.hpp"
#include "control/services.hpp"
#include "defrag/advisor.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/frames.hpp"
#include "regions/share_service.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

class LeaderTerm {
 public:
  /// `lost` is set when a higher fencing token or a failed condition shows that the leadership is
  /// gone. `regions` reaches the leaders of other regions; nullptr where the settings name none.
  LeaderTerm(Services services, LeaderLease& lease, net::Signal& lost,
             regions::RegionNetwork* regions = nullptr);

  /// Reads pools, machine types and live jobs; false when the state service did not let it.
  net::Task<bool> load();
  /// Starts the duties.
  void start(net::Scope& scope);

  net::Response handle_heartbeat(const wire::Heartbeat& heartbeat);
  /// The same for a heartbeat that another node has forwarded here.
  peer::ForwardedResponse handle_forwarded_heartbeat(const wire::Heartbeat& heartbeat,
                                                     const std::string& forwarder,
                                                     std::uint64_t id);
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);
  /// The same of another region's leader.
  void on_region_frame(const std::string& region, const regions::RegionFrame& frame);
  /// Nullptr where the settings name no regions.
  const regions::ShareService* shares() const { return shares_.get(); }
  /// Whether the worker may be sent to report to this node of its own zone.
  bool may_redirect(const std::string& machine, const std::string& forwarder);
  bool is_lost() const { return status_.is_lost(); }
  /// This node's settings don't let it lead, and loading again will not change that.
  bool is_ineligible() const { return is_ineligible_; }
  void step_down(LeadershipLoss loss) { status_.step_down(loss); }
  /// Nothing was heard of any worker for so long that this node may be cut off from them.
  bool hears_no_agent() const;
  sched::ClusterState& cluster() { return cluster_; }

 private:
  /// Changes, placement, writing and starts, for ever.
  net::Task<void> decide();

  net::Task<void> write_jobs();
  void advise_on_moves();
  /// Whether shares of other regions bind this node, and it knows them.
  net::Task<bool> load_shares();
  regions::ShareService::Callbacks share_callbacks();
  JobWatcher::Callbacks job_callbacks();
  double now() const { return services_.reactor.now(); }

  Services services_;
  LeaderLease& leader_lease_;
  LeadershipStatus status_;
  bool is_ineligible_ = false;
  sched::ClusterState cluster_;
  net::Signal work_;
  LeaderContext context_;
  double last_heard_;

  MachineLifecycle machines_;
  OutcomeReader outcomes_;
  RecordReloader reloader_;
  JobWatcher jobs_;
  RecordWriter writer_;
  CommandSender commands_;
  PoolScaler scaler_;
  std::unique_ptr<regions::ShareService> shares_;
  std::unique_ptr<defrag::Advisor> advisor_;  ///< where the operator asks for advice
  std::unique_ptr<MoveService> moves_;        ///< where the operator lets moves be carried out
  double next_pass_at_ = 0;                   ///< no placement pass before
  /// Since the last pass a job has come, or one that others need has ended.
  bool pass_awaited_ = false;
};

}  // namespace cranklock::control
