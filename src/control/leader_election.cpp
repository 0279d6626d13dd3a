#include "control/leader_election.hpp"

#include <string>
#include <utility>
#include <vector>

#include "base/event_log.hpp"
#include "control/record_keys.hpp"
#include "control/small_records.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using store::Status;

LeaderElection::LeaderElection(Services services, StoreMonitor& store_monitor,
                               const peer::Roster& roster)
    : services_(services),
      store_monitor_(store_monitor),
      roster_(roster),
      leadership_lost_(services.reactor) {}

LeaderElection::~LeaderElection() {
  term_scope_.clear();
}

Task<void> LeaderElection::run() {
  const double retry_interval = lease_ttl_s() / 8;
  for (;;) {
    auto reading = services_.store.read(kLeaderKey, kStoreTimeoutS);
    const auto found = co_await reading;
    if (found.status == Status::ok) {
      store_monitor_.note_leader(found);
      store_monitor_.note_answer();
      auto waiting = wait_for_vacancy(found.value.revision);
      co_await waiting;
      continue;
    }
    const bool vacant = found.status == Status::not_found;
    if (vacant) store_monitor_.note_leader(found);
    if (vacant && now() >= abstain_until_) {
      auto acquiring = acquire_leadership();
      const auto grant = co_await acquiring;
      if (grant.acquired) {
        auto serving = serve_term(grant);
        co_await serving;
        continue;
      }
    }
    Sleep pause(services_.reactor, retry_interval);
    co_await pause;
  }
}

// Waits until the leader key has changed since `revision`, for two lease TTLs at most. Also if the
// key names this controller: it was then written by a previous process of it, and its lease expires
// without being revoked.
Task<void> LeaderElection::wait_for_vacancy(std::uint64_t revision) {
  auto watching = services_.store.watch(kLeaderKey, revision, 2 * lease_ttl_s());
  const auto change = co_await watching;
  if (change.status == Status::ok) co_return;
  Sleep pause(services_.reactor, lease_ttl_s() / 8);
  co_await pause;
}

// ---- acquiring ----

Task<LeaderElection::LeadershipGrant> LeaderElection::acquire_leadership() {
  const double timeout = lease_ttl_s() / 3;
  LeadershipGrant grant;
  grant.sent_at = now();
  auto granting = services_.store.grant_lease(lease_ttl_s(), timeout);
  const auto lease_id = co_await granting;
  if (!lease_id) co_return grant;
  grant.lease_id = *lease_id;
  auto writing = write_leader_key(grant);
  co_await writing;
  if (!grant.acquired) {
    auto revoking = services_.store.revoke_lease(grant.lease_id, timeout);
    co_await revoking;
  }
  co_return grant;
}

// A write without a response may still be applied later. To prevent two leaders, this controller
// leads only if the write succeeded or the stored record contains its nonce. A repeated write has
// the same condition, so at most one of the writes is applied (invariant 1).
Task<void> LeaderElection::write_leader_key(LeadershipGrant& grant) {
  constexpr int kMaxTries = 3;
  const double timeout = lease_ttl_s() / 3;
  const std::string nonce = std::to_string(services_.reactor.wall_ms()) + "-" +
                            std::to_string(++acquisitions_) + "-" + std::to_string(grant.lease_id);
  const std::string text = write_leader(LeaderRecord{services_.settings.name, nonce});
  for (int tries = 0; tries < kMaxTries; ++tries) {
    std::vector<wire::Compare> compares{{kLeaderKey, 0}};
    std::vector<wire::Mutation> mutations{{kLeaderKey, text, grant.lease_id}};
    auto writing =
        services_.store.compare_and_swap(std::move(compares), std::move(mutations), timeout);
    const auto written = co_await writing;
    if (written.status == Status::ok) {
      grant.acquired = true;
      grant.fencing_token = written.revision;
      co_return;
    }
    auto reading = services_.store.read(kLeaderKey, timeout);
    const auto found = co_await reading;
    if (found.status == Status::ok) {
      const auto holder = read_leader(found.value.data);
      if (holder && holder->nonce == nonce) {
        grant.acquired = true;
        grant.fencing_token = found.value.revision;
      }
      co_return;
    }
    if (written.status == Status::rejected) co_return;
  }
}

// ---- serving ----

void LeaderElection::begin_term(const LeadershipGrant& grant) {
  base::log_info("leadership acquired", base::field("fencing_token", grant.fencing_token));
  store_monitor_.set_leader(services_.settings.name);
  services_.store.set_leading(true);
  lease_ = std::make_unique<LeaderLease>(services_.settings, grant.fencing_token, grant.sent_at);
  term_ = std::make_unique<LeaderTerm>(services_, *lease_, leadership_lost_, region_network_);
}

Task<void> LeaderElection::serve_term(LeadershipGrant grant) {
  begin_term(grant);
  auto loading = term_->load();
  const auto outcome = co_await loading;
  if (outcome == LeaderTerm::LoadOutcome::loaded) {
    serving_ = true;
    term_->start(term_scope_);
    base::log_info(base::kLeadershipServing, base::field("fencing_token", grant.fencing_token),
                   base::field("jobs", term_->cluster().jobs().size()));
    auto renewing = renew_until_lost(grant.lease_id);
    co_await renewing;
    term_->log_counters();
  } else if (outcome == LeaderTerm::LoadOutcome::ineligible) {
    abstain();
  }
  end_term();
  auto revoking = services_.store.revoke_lease(grant.lease_id, lease_ttl_s() / 3);
  co_await revoking;
}

Task<void> LeaderElection::renew_until_lost(std::uint64_t lease_id) {
  while (!term_->is_lost()) {
    const double sent_at = now();
    auto renewing = services_.store.renew_lease(lease_id, lease_ttl_s() / 3);
    const auto renewed = co_await renewing;
    if (renewed == Status::not_found) {
      log_leadership_lost(lease_->fencing_token(), LeadershipLoss::lease_ended);
      co_return;
    }
    lease_->record_renewal_not_refused(sent_at);
    const bool confirmed = renewed == Status::ok;
    if (confirmed) lease_->record_renewal(sent_at);
    if (is_cut_off_from_agents()) {
      base::log_info("leadership relinquished",
                     base::field("fencing_token", lease_->fencing_token()),
                     base::field("reason", "no agent heartbeats received"));
      abstain();
      co_return;
    }
    net::Signal::Wait wait(leadership_lost_, lease_ttl_s() / (confirmed ? 4 : 10));
    co_await wait;
  }
}

void LeaderElection::end_term() {
  serving_ = false;
  store_monitor_.set_leader("");
  term_scope_.clear();
  term_.reset();
  lease_.reset();
  services_.store.set_leading(false);
}

// Stays out of elections for two agent leases, so that a controller with better connectivity can
// become the leader.
void LeaderElection::abstain() {
  abstain_until_ = now() + 2 * services_.settings.lease_s;
}

// Whether agents cannot reach this leader but may reach another controller. If other controllers
// are alive and none receives heartbeats, either there are no agents or all controllers are cut off
// from them, and another leader would not help. A leader that has machines and receives neither
// agent nor peer heartbeats has itself lost the network.
bool LeaderElection::is_cut_off_from_agents() const {
  if (!term_->agents_timed_out() || services_.settings.others.empty()) return false;
  if (roster_.any_receives_heartbeats(now())) return true;
  return !roster_.any_alive(now()) && !term_->cluster().machines().empty();
}

void LeaderElection::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  if (term_ == nullptr) return;
  term_->on_peer_heartbeat(peer_heartbeat);
  // A leader that has lost only the key-value store detects its successor here, long before it
  // would have to stop responding to heartbeats; until then its agents keep using it.
  if (peer_heartbeat.fencing_token > lease_->fencing_token()) {
    term_->step_down(LeadershipLoss::peer_has_higher_token);
  }
}

}  // namespace cranklock::control
