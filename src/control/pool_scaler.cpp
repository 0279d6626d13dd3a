#include "control/pool_scaler.hpp"

#include <algorithm>

#include "base/event_log.hpp"
#include "control/zone_choice.hpp"
#include "sched/availability.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Machine;
using sched::PoolId;

namespace {

void log_scaling(std::string_view event, const std::string& pool, int machines,
                 const sched::PoolReading& reading) {
  base::log_info(event, base::field("pool", pool), base::field("machines", machines),
                 base::field("current", reading.machines), base::field("score", reading.score));
}

}  // namespace

Task<bool> PoolScaler::load() {
  PoolStore::States states;
  auto loading = store_.load(states);
  const bool loaded = co_await loading;
  if (!loaded) co_return false;
  is_first_term_ = states.empty();
  for (const auto& [name, state] : states) pool(name).state = state;
  co_return true;
}

Task<void> PoolScaler::run() {
  for (;;) {
    Sleep pause(context_.services.reactor,
                context_.services.settings.operator_settings.scaler.interval_s);
    co_await pause;
    if (context_.cluster.types().empty() || context_.leadership.is_lost()) continue;
    const auto changed = scale_pools();
    for (const auto& name : changed) {
      auto writing = store_.write(name, pool(name).state);
      co_await writing;
    }
  }
}

sched::Pool& PoolScaler::pool(const std::string& name) {
  const auto& settings = context_.services.settings.operator_settings.scaler;
  return pools_.try_emplace(name, sched::Pool(settings)).first->second;
}

std::vector<std::string> PoolScaler::scale_pools() {
  const double now = context_.now();
  requester_.forget_expired(now);
  const double high = context_.services.settings.operator_settings.scaler.high_score;
  const auto readings = sched::read_pools(context_.cluster, shortfall_, high);
  std::vector<std::string> changed;
  for (const auto& [id, reading] : readings) {
    const std::string name = id.name();
    const auto before = pool(name).state;
    scale_pool(id, reading, now);
    if (pool(name).state != before) changed.push_back(name);
  }
  return changed;
}

void PoolScaler::scale_pool(const PoolId& id, const sched::PoolReading& reading, double now) {
  const double scale_in_window_s =
      context_.services.settings.operator_settings.scaler.scale_in_window_s;
  const bool settled = is_first_term_ || now - context_.term_started_at >= scale_in_window_s;
  const std::string name = id.name();
  sched::Pool& scaled = pool(name);
  const auto wall_ms = context_.services.reactor.wall_ms();
  const int change = scaled.decide(reading, settled, wall_ms, now);
  base::log_debug("pool read", base::field("pool", name), base::field("score", reading.score),
                  base::field("current", reading.machines), base::field("wanted", reading.wanted),
                  base::field("change", change));
  if (change == 0 || !context_.lease.valid(now)) return;
  if (change > 0) {
    // Recorded before the answer: the cooldown applies to refused scale-out requests too.
    scaled.record_scaling(reading.machines + change, wall_ms);
    log_scaling("pool scaled out", name, change, reading);
    scale_out(id, change);
    return;
  }
  const int terminated = scale_in(id, -change);
  if (terminated == 0) return;
  scaled.record_scaling(reading.machines - terminated, wall_ms);
  log_scaling("pool scaled in", name, terminated, reading);
}

void PoolScaler::scale_out(const PoolId& id, int machines) {
  requester_.request(choose_zones({id, machines, shortfall_.wanted, available_zones(id)}));
}

// A zone without a controller loses its tasks in a network partition, so it gets half as many
// on-demand machines.
std::map<std::string, ZoneLoad> PoolScaler::available_zones(const PoolId& id) const {
  std::map<std::string, ZoneLoad> zones;
  for (const auto& zone : context_.cluster.type(id.type)->zones) {
    if (context_.cluster.is_unreachable(zone) ||
        requester_.is_unavailable({id.type, zone, id.spot})) {
      continue;
    }
    zones[zone].weight = id.spot || context_.services.settings.has_controller_in(zone) ? 1 : 2;
  }
  for (const auto& [machine_id, machine] : context_.cluster.machines()) {
    if (sched::pool_of(machine.kind) != id) continue;
    const auto zone = zones.find(machine.kind.zone);
    if (zone != zones.end()) ++zone->second.machines;
  }
  return zones;
}

int PoolScaler::scale_in(const PoolId& id, int machines) {
  const auto idle = idle_machines(id);
  const auto terminated = std::min(static_cast<std::size_t>(machines), idle.size());
  for (std::size_t i = 0; i < terminated; ++i) {
    machines_.terminate(*idle[i], TerminationReason::scaled_in);
  }
  return static_cast<int>(terminated);
}

/// The pool's machines that have been idle for two heartbeat intervals, longest idle first.
std::vector<Machine*> PoolScaler::idle_machines(const PoolId& id) {
  constexpr double kMinIdleHeartbeats = 2;
  const double min_idle_s = context_.services.settings.heartbeat_interval_s * kMinIdleHeartbeats;
  std::vector<Machine*> idle;
  for (auto& [machine_id, machine] : context_.cluster.machines()) {
    // A drained machine that a move plan reserves for a large job is not idle.
    if (context_.cluster.reservations().any_on(machine_id)) continue;
    if (sched::pool_of(machine.kind) == id && sched::is_schedulable(context_.cluster, machine) &&
        machine.idle() && context_.now() - machine.idle_since > min_idle_s) {
      idle.push_back(&machine);
    }
  }
  std::sort(idle.begin(), idle.end(),
            [](const Machine* a, const Machine* b) { return a->idle_since < b->idle_since; });
  return idle;
}

}  // namespace cranklock::control
