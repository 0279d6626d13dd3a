#include "control/pool_scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "control/record_keys.hpp"
#include "control/small_records.hpp"
#include "sched/availability.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Machine;
using store::Status;

PoolScaler::PoolScaler(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
                       net::Signal& work, Callbacks callbacks)
    : services_(services),
      leader_lease_(lease),
      cluster_(cluster),
      work_(work),
      callbacks_(std::move(callbacks)),
      term_started_at_(services.reactor.now()) {}

Task<bool> PoolScaler::load() {
  auto reading_pools = services_.store.read_all(kPoolsPrefix, kStoreTimeout);
  const auto pools = co_await reading_pools;
  if (pools.status != Status::ok) co_return false;
  first_ever_ = pools.page.items.empty();
  for (const auto& item : pools.page.items) {
    const auto name = pool_of_key(item.key);
    auto& pool =
        pools_.try_emplace(name, sched::Pool(services_.settings.operators.scaler)).first->second;
    const auto stored = read_pool(item.data);
    pool.state = stored ? *stored : sched::PoolState{};
    pool_revisions_[name] = item.revision;
  }
  co_return true;
}

void PoolScaler::forget_refusals(double at) {
  std::erase_if(refused_until_, [&](const auto& refusal) { return refusal.second < at; });
}

Task<void> PoolScaler::run() {
  const auto& figures = services_.settings.operators.scaler;
  for (;;) {
    Sleep pause(services_.reactor, figures.every_s);
    co_await pause;
    if (cluster_.types().empty() || callbacks_.is_lost()) continue;
    const double at = now();
    forget_refusals(at);
    const bool settled = first_ever_ || at - term_started_at_ >= figures.down_window_s;
    const auto readings = sched::read_pools(cluster_, shortfall_, figures.high);
    std::vector<std::string> changed;
    for (const auto& [id, reading] : readings) {
      const std::string name = id.name();
      auto& pool = pools_.try_emplace(name, sched::Pool(figures)).first->second;
      const auto wall = services_.reactor.wall_ms();
      const auto before = pool.state;
      const int change = pool.decide(reading, settled, wall, at);
      spdlog::debug("pool {}: score {:.2f}, {} machines, {} wanted, change {}", name, reading.score,
                    reading.machines, reading.wanted, change);
      if (change > 0 && leader_lease_.valid(at)) {
        // Recorded now: a refused scale-out request waits a cooldown like any other.
        pool.record_scaling(reading.machines + change, wall);
        spdlog::info("pool {} grows by {} from {}: score {:.2f}", name, change, reading.machines,
                     reading.score);
        scale_out(id, change);
      } else if (change < 0 && leader_lease_.valid(at)) {
        const int given = scale_in(id, -change);
        if (given > 0) {
          pool.record_scaling(reading.machines - given, wall);
          spdlog::info("pool {} shrinks by {} from {}: score {:.2f}", name, given, reading.machines,
                       reading.score);
        }
      }
      if (!(pool.state == before)) changed.push_back(name);
    }
    for (const auto& name : changed) {
      auto writing = write_pool(name);
      co_await writing;
    }
  }
}

void PoolScaler::scale_out(const sched::PoolId& pool, int machines) {
  // What waits decides on the zone; what the step adds beyond that goes to the zone that has
  // fewest; a zone without a controller, which loses its work in a cut, gets half of a share.
  std::map<sched::MachineKind, int> plan;
  auto wanted = shortfall_.wanted;
  for (bool any = true; any && machines > 0;) {
    any = false;
    for (auto& [kind, n] : wanted) {
      if (sched::pool_of(kind) != pool || n == 0 || machines == 0) continue;
      --n, --machines, ++plan[kind];
      any = true;
    }
  }
  const auto* type = cluster_.type(pool.type);
  const auto weight = [&](const std::string& zone) {
    return pool.spot || services_.settings.has_node(zone) ? 1 : 2;
  };
  std::map<std::string, int> zones;
  for (const auto& zone : type->zones) {
    if (!cluster_.is_unreachable(zone)) zones[zone] = 0;
  }
  for (const auto& [id, m] : cluster_.machines()) {
    if (sched::pool_of(m.kind) == pool && zones.contains(m.kind.zone)) {
      zones[m.kind.zone] += weight(m.kind.zone);
    }
  }
  for (; machines > 0 && !zones.empty(); --machines) {
    auto least = zones.end();
    for (auto it = zones.begin(); it != zones.end(); ++it) {
      const auto refused = refused_until_.find({pool.type, it->first, pool.spot});
      if (refused != refused_until_.end() && refused->second > now()) continue;
      if (least == zones.end() || it->second < least->second) least = it;
    }
    if (least == zones.end()) break;
    least->second += weight(least->first);
    ++plan[{pool.type, least->first, pool.spot}];
  }
  for (const auto& [kind, n] : plan) {
    for (int left = n; left > 0; left -= cloud::kMaxMachinesPerRequest) {
      scope_.spawn(request_machines(kind, std::min(left, cloud::kMaxMachinesPerRequest)));
    }
  }
}

Task<void> PoolScaler::request_machines(sched::MachineKind kind, int count) {
  // The fencing token makes the name unique among leaders, the sequence among our own.
  const std::string name = "r-" + std::to_string(leader_lease_.fencing_token()) + "-" +
                           std::to_string(++request_sequence_);
  const auto& figures = services_.settings.operators.scaler;
  for (;;) {
    if (!leader_lease_.valid(now())) co_return;
    auto requesting = services_.cloud.scale_out({name, kind.type, kind.zone, kind.spot, count});
    const auto result = co_await requesting;
    using Kind = cloud::ScaleOutResult::Kind;
    if (result.kind == Kind::rented) {
      for (const auto& id : result.machines) {
        if (!callbacks_.is_deleted(id))
          cluster_.upsert_machine(id, kind, now()).provisioned_here = true;
      }
      if (static_cast<int>(result.machines.size()) < count) {
        refused_until_[kind] = now() + figures.up_cooldown_s;
      }
      work_.set();
      co_return;
    }
    if (result.kind == Kind::no_capacity) {
      spdlog::info("no {} machine to be had in {}{}", kind.type, kind.zone,
                   kind.spot ? " as spot" : "");
      refused_until_[kind] = now() + figures.up_cooldown_s;
      cluster_.mark_changed();
      co_return;
    }
    if (result.kind == Kind::refused) co_return;  // the next cooldown brings the next try
    // No answer: it may have rented. The same name asks again without renting twice.
    Sleep pause(services_.reactor, services_.settings.heartbeat_interval_s);
    co_await pause;
  }
}

int PoolScaler::scale_in(const sched::PoolId& pool, int machines) {
  std::vector<Machine*> idle;
  for (auto& [id, m] : cluster_.machines()) {
    // An emptied machine that a plan holds for large work is not idle.
    if (cluster_.reservations().any_on(id)) continue;
    if (sched::pool_of(m.kind) == pool && sched::is_schedulable(cluster_, m) && m.idle() &&
        now() - m.idle_since > services_.settings.heartbeat_interval_s * 2) {
      idle.push_back(&m);
    }
  }
  std::sort(idle.begin(), idle.end(),
            [](const Machine* a, const Machine* b) { return a->idle_since < b->idle_since; });
  int given = 0;
  for (Machine* m : idle) {
    if (given == machines) break;
    callbacks_.terminate(*m, "nothing needs it");
    ++given;
  }
  return given;
}

Task<void> PoolScaler::write_pool(std::string name) {
  const std::string key = pool_key(name);
  std::vector<wire::Compare> compares{{kLeaderKey, leader_lease_.fencing_token()},
                                      {key, pool_revisions_[name]}};
  std::vector<wire::Mutation> mutations{{key, control::write_pool(pools_.at(name).state), 0}};
  auto writing =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations), kStoreTimeout);
  const auto result = co_await writing;
  if (result.status == Status::ok) {
    pool_revisions_[name] = result.revision;
  } else if (result.status != Status::refused) {
    auto reading = services_.store.read(key, kStoreTimeout);
    const auto found = co_await reading;
    if (found.status == Status::ok) pool_revisions_[name] = found.value.revision;
  }
}

}  // namespace cranklock::control
