// Acquiring, renewing and giving up the leadership.
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
/// The leader is whose record stands under the leader key, which is bound to a lease of the
/// key-value store. The fencing token is the revision of the write that put it there (invariant 1).
/// A term lasts until the lease ends, a higher fencing token is seen, or the leadership is given
/// up; then the term is destroyed, which cancels all its routines.
class LeaderElection {
 public:
  /// All that is referred to outlives the election.
  LeaderElection(Services services, StoreMonitor& store_monitor, const peer::Roster& roster);
  ~LeaderElection();
  LeaderElection(const LeaderElection&) = delete;
  LeaderElection& operator=(const LeaderElection&) = delete;

  /// How leaders of other regions are reached, where the settings name regions. Before run().
  void set_region_network(regions::RegionNetwork* network) { region_network_ = network; }
  /// Waits for the leader key to be free, acquires it and serves a term; over and over, until
  /// cancelled.
  net::Task<void> run();

  /// Whether this controller is the leader and has loaded its cluster state.
  bool leads() const { return term_ != nullptr && serving_; }
  /// Of the present leadership; 0: this controller does not lead.
  std::uint64_t fencing_token() const { return leads() ? lease_->fencing_token() : 0; }
  /// The present term, which may still be loading; nullptr: there is none.
  LeaderTerm* term() { return term_.get(); }
  /// Steps down if the peer leads with a higher fencing token (invariant 6).
  void on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat);

 private:
  /// What a successful acquisition has brought.
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
  double lease_life() const { return LeaderLease::lease_life(services_.settings); }
  double now() const { return services_.reactor.now(); }

  Services services_;
  StoreMonitor& store_monitor_;
  const peer::Roster& roster_;
  regions::RegionNetwork* region_network_ = nullptr;
  net::Signal lost_;  ///< set when the present term finds that the leadership is lost
  std::unique_ptr<LeaderLease> lease_;
  std::unique_ptr<LeaderTerm> term_;
  net::Scope term_routines_;
  bool serving_ = false;            ///< the term has loaded its cluster state
  double abstain_until_ = 0;        ///< no acquisition before this time
  std::uint64_t acquisitions_ = 0;  ///< tried so far, for the nonce of the leader record
};

}  // namespace cranklock::control
