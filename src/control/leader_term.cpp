#include "control/leader_term.hpp"

#include <utility>

#include "base/event_log.hpp"
#include "control/record_keys.hpp"
#include "regions/demand.hpp"
#include "regions/records.hpp"

namespace cranklock::control {

using net::Task;
using sched::Job;
using store::Status;

LeaderTerm::LeaderTerm(Services services, LeaderLease& lease, net::Signal& lost,
                       regions::RegionNetwork* regions)
    : status_(lease.fencing_token(), lost),
      cluster_(services.settings, lease.fencing_token(), services.reactor.now()),
      state_changed_(services.reactor),
      context_{services, lease, status_, cluster_, state_changed_, services.reactor.now(),
               counters_},
      log_(context_),
      machines_(context_),
      heartbeats_(context_, machines_),
      outcomes_(context_),
      reloader_(context_, [this](Job job) { jobs_.upsert_job(std::move(job)); }),
      jobs_(context_, reloader_, job_callbacks()),
      writer_(context_, reloader_),
      commands_(context_, machines_, [this] { heartbeats_.note_agent_message(); }),
      scaler_(context_, machines_),
      quota_shares_(make_quota_shares(regions)),
      moves_(make_moves()),
      decisions_(context_, {jobs_, outcomes_, writer_, commands_, scaler_, quota_shares_.get(),
                            moves_.get()}) {
  cluster_.set_end_observer(
      [this](const Job& job, const sched::Placement& placement, sched::EndProof proof) {
        log_.record_end(job, placement, proof);
      });
}

std::unique_ptr<regions::QuotaService> LeaderTerm::make_quota_shares(
    regions::RegionNetwork* regions) {
  if (regions == nullptr) return nullptr;
  auto quotas = std::make_unique<regions::QuotaService>(
      context_.services.reactor, context_.services.settings, context_.services.store, *regions,
      wire::Compare{kLeaderKey, context_.lease.fencing_token()}, quota_callbacks());
  cluster_.set_team_shares(&quotas->ledger());
  return quotas;
}

std::unique_ptr<MoveService> LeaderTerm::make_moves() {
  if (!context_.services.settings.operator_settings.defrag.moves) return nullptr;
  return std::make_unique<MoveService>(context_);
}

JobWatcher::Callbacks LeaderTerm::job_callbacks() {
  return {[this] { decisions_.expedite_pass(); }, [this] { commands_.send_commands(); },
          [this](const std::string& id) { return outcomes_.was_not_found(id); }};
}

regions::QuotaService::Callbacks LeaderTerm::quota_callbacks() {
  return {[this] { return regions::demands_of_waiting_work(cluster_, context_.now()); },
          [this](const std::string& team) { return regions::allocated_quota(cluster_, team); },
          [this] {
            cluster_.mark_changed();
            state_changed_.set();
          },
          [this] { step_down(LeadershipLoss::leader_key_changed); }};
}

// ---- failover ----

Task<LeaderTerm::LoadOutcome> LeaderTerm::load() {
  auto loading_quota = load_quota_shares();
  const auto quota = co_await loading_quota;
  if (quota != LoadOutcome::loaded) co_return quota;
  auto loading_types = load_machine_types();
  const auto types = co_await loading_types;
  if (types != LoadOutcome::loaded) co_return types;
  auto loading_pools = scaler_.load();
  if (!co_await loading_pools) co_return LoadOutcome::store_unavailable;
  auto loading_jobs = jobs_.load();
  if (!co_await loading_jobs) co_return LoadOutcome::store_unavailable;
  log_.log_loaded(jobs_.revision());
  if (!moves_) co_return LoadOutcome::loaded;
  auto loading_moves = moves_->load();
  const bool moves_loaded = co_await loading_moves;
  co_return moves_loaded ? LoadOutcome::loaded : LoadOutcome::store_unavailable;
}

// A controller whose operator settings name no regions, for example after a rollback, must not lead
// while regions share quota: it would use each team's whole limit although parts of it are
// allocated to other regions (invariant 16).
Task<LeaderTerm::LoadOutcome> LeaderTerm::load_quota_shares() {
  if (quota_shares_) {
    auto loading = quota_shares_->load();
    const bool loaded = co_await loading;
    co_return loaded ? LoadOutcome::loaded : LoadOutcome::store_unavailable;
  }
  auto reading = context_.services.store.read(regions::kBootstrapRegionKey, kStoreTimeoutS);
  const auto found = co_await reading;
  if (found.status == Status::not_found) co_return LoadOutcome::loaded;  // quota is not shared
  if (found.status != Status::ok) co_return LoadOutcome::store_unavailable;
  base::log_error("leadership declined",
                  base::field("reason", "regions share quota, and the settings name no regions"));
  co_return LoadOutcome::ineligible;
}

// If none are stored, the leader reads them from the cloud later.
Task<LeaderTerm::LoadOutcome> LeaderTerm::load_machine_types() {
  auto reading = context_.services.store.read(kTypesKey, kStoreTimeoutS);
  const auto found = co_await reading;
  if (found.status == Status::not_found) co_return LoadOutcome::loaded;
  if (found.status != Status::ok) co_return LoadOutcome::store_unavailable;
  if (auto types = wire::parse_machine_types(found.value.data)) {
    cluster_.set_types(std::move(*types));
  }
  co_return LoadOutcome::loaded;
}

void LeaderTerm::start(net::Scope& scope) {
  scope.spawn(decisions_.run());
  scope.spawn(log_.run());
  scope.spawn(reloader_.run());
  scope.spawn(jobs_.follow());
  scope.spawn(jobs_.read_deferred());
  machines_.start(scope);
  scope.spawn(scaler_.run());
  scope.spawn(commands_.announce_fencing_token());
  if (quota_shares_) quota_shares_->start(scope);
  if (moves_) scope.spawn(moves_->run());
}

void LeaderTerm::on_region_frame(const std::string& region, const regions::RegionFrame& frame) {
  if (quota_shares_ && !is_lost()) quota_shares_->on_region_frame(region, frame);
}

}  // namespace cranklock::control
