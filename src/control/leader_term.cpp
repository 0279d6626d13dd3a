#include "control/leader_term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/heartbeat_forwarder.hpp"
#include "control/record_keys.hpp"
#include "regions/demand.hpp"
#include "regions/records.hpp"

namespace cranklock::control {

using net::Response;
using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;
using store::Status;

LeaderTerm::LeaderTerm(Services services, LeaderLease& lease, net::Signal& lost,
                       regions::RegionNetwork* regions)
    : services_(services),
      leader_lease_(lease),
      status_(lease.fencing_token(), lost),
      cluster_(services.settings, lease.fencing_token(), services.reactor.now()),
      work_(services.reactor),
      context_{services, lease, status_, cluster_, work_, services.reactor.now()},
      last_heard_(services.reactor.now()),
      machines_(context_),
      outcomes_(context_),
      reloader_(context_, [this](Job job) { jobs_.upsert_job(std::move(job)); }),
      jobs_(context_, reloader_, job_callbacks()),
      writer_(context_, reloader_),
      commands_(context_, machines_, [this] { last_heard_ = now(); }),
      scaler_(context_, machines_) {
  const double advise_every_s = services.settings.operators.defrag.advise_every_s;
  if (advise_every_s > 0) advisor_ = std::make_unique<defrag::Advisor>(cluster_, advise_every_s);
  if (services.settings.operators.defrag.moves) {
    moves_ = std::make_unique<MoveService>(context_);
  }
  if (regions == nullptr) return;
  shares_ = std::make_unique<regions::ShareService>(
      services.reactor, services.settings, services.store, *regions,
      wire::Compare{kLeaderKey, lease.fencing_token()}, share_callbacks());
  cluster_.set_team_shares(&shares_->book());
}

bool LeaderTerm::hears_no_agent() const {
  const auto& s = services_.settings;
  const double span = std::max(3 * s.heartbeat_interval_s, s.lease_s / 3);
  return now() > last_heard_ + span;
}

JobWatcher::Callbacks LeaderTerm::job_callbacks() {
  return {[this] { pass_awaited_ = true; }, [this] { commands_.send_commands(); }};
}

// ---- shares of team limits ----

regions::ShareService::Callbacks LeaderTerm::share_callbacks() {
  return {[this] { return regions::waiting_demands(cluster_, now()); },
          [this](const std::string& team) { return regions::used_share(cluster_, team); },
          [this] {
            cluster_.mark_changed();
            work_.set();
          },
          [this] { step_down(LeadershipLoss::leader_key_changed); }};
}

void LeaderTerm::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  if (shares_ && !is_lost()) shares_->on_region_frame(region, frame);
}

// Guards against a node whose operator's file names no regions, as after a roll-back: it would use
// the whole of each limit, which other regions hold parts of.
Task<bool> LeaderTerm::load_shares() {
  if (shares_) {
    auto loading = shares_->load();
    co_return co_await loading;
  }
  auto reading = services_.store.read(regions::kFounderKey, kStoreTimeout);
  const auto found = co_await reading;
  is_ineligible_ = found.status == Status::ok;
  if (is_ineligible_) {
    spdlog::error("limits are shared with other regions, and the settings name none: not leading");
  }
  co_return found.status == Status::not_found;
}

// ---- take-over ----

Task<bool> LeaderTerm::load() {
  auto loading_shares = load_shares();
  if (!co_await loading_shares) co_return false;
  auto reading_types = services_.store.read(kTypesKey, kStoreTimeout);
  const auto types = co_await reading_types;
  if (types.status == Status::ok) {
    if (auto parsed = wire::parse_machine_types(types.value.data)) {
      cluster_.set_types(std::move(*parsed));
    }
  } else if (types.status != Status::not_found) {
    co_return false;
  }
  auto loading_pools = scaler_.load();
  if (!co_await loading_pools) co_return false;
  auto loading_jobs = jobs_.load();
  if (!co_await loading_jobs) co_return false;
  if (!moves_) co_return true;
  auto loading_moves = moves_->load();
  co_return co_await loading_moves;
}

void LeaderTerm::start(net::Scope& scope) {
  scope.spawn(decide());
  scope.spawn(reloader_.run());
  scope.spawn(jobs_.follow());
  machines_.start(scope);
  scope.spawn(scaler_.run());
  scope.spawn(commands_.announce_fencing_token());
  if (shares_) shares_->start(scope);
  if (moves_) scope.spawn(moves_->run());
}

// ---- reports ----

Response LeaderTerm::handle_heartbeat(const wire::Heartbeat& heartbeat) {
  Response response;
  const double at = now();
  if (heartbeat.fencing_token > leader_lease_.fencing_token()) {
    step_down(LeadershipLoss::agent_saw_higher_token);
    response.status = 421;
    response.body = wire::redirect_response("");
    return response;
  }
  // Judged now, at the moment of answering: the process may have been held up.
  if (is_lost() || !leader_lease_.may_respond(at) || machines_.is_deleted(heartbeat.machine)) {
    response.status = 503;
    return response;
  }
  const auto* before = cluster_.machine(heartbeat.machine);
  const bool was_quarantined = before != nullptr && before->quarantined();
  const auto freshness = cluster_.reconcile_heartbeat(heartbeat, true, at);
  if (!was_quarantined && cluster_.machine(heartbeat.machine)->quarantined()) {
    spdlog::info("machine {} is quarantined: it fails what it starts", heartbeat.machine);
  }
  if (freshness == sched::ClusterState::Freshness::late_copy) {
    response.status = 503;  // renews nothing
    return response;
  }
  last_heard_ = at;
  if (spdlog::should_log(spdlog::level::debug)) {
    for (const auto& t : heartbeat.tasks) {
      Job* job = cluster_.job(t.task.job);
      const auto* p = job != nullptr ? job->find(t.task.index, t.attempt) : nullptr;
      if (p == nullptr || p->running_since != at) continue;
      spdlog::debug("{} of {} runs on {}: {:.1f} s after its decision, {:.1f} s known",
                    wire::to_string(t.task), job->spec.job_class, heartbeat.machine,
                    at - p->decided_at, at - job->known_since);
    }
  }
  std::vector<wire::Command> commands;
  if (freshness == sched::ClusterState::Freshness::fresh) {
    commands = cluster_.commands_for(heartbeat, leader_lease_.may_start(at), at);
  }
  cluster_.record_response(heartbeat.machine, at);
  response.body = wire::heartbeat_response(leader_lease_.fencing_token(), commands);
  work_.set();
  return response;
}

peer::ForwardedResponse LeaderTerm::handle_forwarded_heartbeat(const wire::Heartbeat& heartbeat,
                                                               const std::string& forwarder,
                                                               std::uint64_t id) {
  const auto response = handle_heartbeat(heartbeat);
  peer::ForwardedResponse answer{id, static_cast<std::uint16_t>(response.status),
                                 leader_lease_.fencing_token(), 0, response.body};
  Machine* m = cluster_.machine(heartbeat.machine);
  if (response.status != 200 || m == nullptr || response.body.size() > peer::kMaxTextBytes) {
    if (response.status == 200) answer.status = 503;
    return answer;
  }
  // Nothing is prolonged alone that a stop may not have reached yet, be it this very answer.
  const double until = leader_lease_.may_respond_until();
  const auto& others = services_.settings.others;
  const bool own_zone = std::any_of(others.begin(), others.end(), [&](const base::Peer& peer) {
    return peer.name == forwarder && peer.zone == m->kind.zone;
  });
  if (own_zone && until > now() && !m->stopping()) {
    answer.delegation_ms = static_cast<std::uint32_t>((until - now()) * 1000);
    auto& kept = m->lease.delegated_until[forwarder];
    kept = std::max(kept, until);
  }
  return answer;
}

void LeaderTerm::on_peer_heartbeat(const peer::PeerHeartbeat& peer_heartbeat) {
  const bool ours = peer_heartbeat.echoed_fencing_token == leader_lease_.fencing_token();
  const double never = -1;
  cluster_.record_forwarder(peer_heartbeat.name, peer_heartbeat.incarnation,
                            ours ? static_cast<double>(peer_heartbeat.echoed_clock_ms) / 1000 +
                                       HeartbeatForwarder::leader_timeout(services_.settings) * 0.98
                                 : 0,
                            peer_heartbeat.delegate_responded_ms == peer::kNever
                                ? never
                                : now() - peer_heartbeat.delegate_responded_ms / 1000.0,
                            now());
}

bool LeaderTerm::may_redirect(const std::string& id, const std::string& forwarder) {
  Machine* m = cluster_.machine(id);
  const double at = now();
  if (m == nullptr || !m->agent.token_acknowledged ||
      !cluster_.is_forwarder_reachable(forwarder, at))
    return false;
  // Once in a while only: a worker that comes back has found its forwarder wanting.
  if (m->lease.redirected_at > 0 && at - m->lease.redirected_at < 2 * services_.settings.lease_s)
    return false;
  m->lease.redirected_at = at;
  return true;
}

}  // namespace cranklock::control
