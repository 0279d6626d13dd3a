// Acquires, renews and relinquishes the leadership.
#pragma once

#include <cstdint>
#include <memory>

#include "control/leader_lease.hpp"
#include "control/leader_term.hpp"
#include "control/services.hpp"
#include "control/store_monitor.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "peer/roster.hpp"

namespace cranklock::control {

/// Takes part in elections, and owns the leader term while this controller is the leader.
///
/// The leader is the controller named by the leader key, which is bound to a lease of the key-value
/// store. The fencing token is the revision of the write that created the key (invariant 1). A term
/// lasts until the lease expires, a higher fencing token is seen, or the leadership is
/// relinquished; then the term is destroyed, which cancels its coroutines.
class LeaderElection {
 public:
  /// All referenced objects must outlive the election.
  LeaderElection(Services services, StoreMonitor& store_monitor, const peer::Roster& roster);
  ~LeaderElection();
  LeaderElection(const LeaderElection&) = delete;
  LeaderElection& operator=(const LeaderElection&) = delete;

  /// Sets the connection to the leaders of other regions; needed only if the settings name regions.
  /// Call before run().
  void set_region_network(regions::RegionNetwork* network) { region_network_ = network; }
  /// Repeatedly waits until the leader key is vacant, acquires it and serves a term, until
  /// cancelled.
  net::Task<void> run();

  /// Whether this controller is the leader and has loaded its cluster state.
  bool leads() const { return term_ != nullptr && serving_; }
  /// The fencing token of the current term; 0 if this controller does not lead.
  std::uint64_t fencing_token() const { return leads() ? lease_->fencing_token() : 0; }
  /// The current term, which may still be loading; nullptr if there is none.
  LeaderTerm* term() { return term_.get(); }
  /// Steps down if the peer leads with a higher fencing token (invariant 6).
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);

 private:
  /// The result of an attempt to acquire the leadership.
  struct LeadershipGrant {
    bool acquired = false;
    std::uint64_t lease_id = 0;       ///< of the key-value store
    std::uint64_t fencing_token = 0;  ///< revision of the leader key
    double sent_at = 0;               ///< when the lease was requested, in steady seconds
  };

  net::Task<void> wait_for_vacancy(std::uint64_t revision);
  net::Task<LeadershipGrant> acquire_leadership();
  net::Task<void> write_leader_key(LeadershipGrant& grant);
  net::Task<void> serve_term(LeadershipGrant grant);
  net::Task<void> renew_until_lost(std::uint64_t lease_id);
  void begin_term(const LeadershipGrant& grant);
  void end_term();
  void abstain();
  bool is_cut_off_from_agents() const;
  /// Seconds for which the store keeps the leader key without a renewal.
  double lease_ttl_s() const { return LeaderLease::lease_ttl_s(services_.settings); }
  double now() const { return services_.reactor.now(); }

  Services services_;
  StoreMonitor& store_monitor_;
  const peer::Roster& roster_;
  regions::RegionNetwork* region_network_ = nullptr;
  net::Signal leadership_lost_;  ///< set when the current term detects the loss of leadership
  std::unique_ptr<LeaderLease> lease_;
  std::unique_ptr<LeaderTerm> term_;
  net::Scope term_scope_;
  bool serving_ = false;            ///< the term has loaded its cluster state
  double abstain_until_ = 0;        ///< no acquisition before this time
  std::uint64_t acquisitions_ = 0;  ///< attempts so far, part of the nonce of the leader record
};

}  // namespace cranklock::control
