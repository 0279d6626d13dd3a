#include "sched/scaler.hpp"

#include <algorithm>
#include <cmath>

#include "sched/availability.hpp"

namespace cranklock::sched {
namespace {
double largest_share(const wire::Resources& part, const wire::Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  return share;
}
}  // namespace

int Pool::decide(const PoolReading& reading, bool settled, std::int64_t wall_ms, double now) {
  history_.emplace_back(now, reading.score);
  const double keep = std::max(settings_.up_window_s, settings_.down_window_s);
  while (!history_.empty() && history_.front().first < now - keep - settings_.every_s) {
    history_.pop_front();
  }
  if (reading.wanted == 0) {
    wanted_since_.reset();
  } else if (!wanted_since_) {
    wanted_since_ = now;
  }
  if (!settled) return 0;

  // A window counts only when readings reach back over all of it: the start of a term proves
  // nothing about the time before.
  const auto whole_window = [&](double window, auto holds) {
    bool reaches = false;
    for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
      if (!holds(it->second)) return false;
      if (it->first <= now - window + 1e-6) {
        reaches = true;
        break;
      }
    }
    return reaches;
  };
  const double since_scale = static_cast<double>(wall_ms - state.scaled_ms) / 1000.0;
  // Guards against work that the pool's free room is no use to, bound to another zone, say, while
  // that room keeps the score below High for ever: what wants machines for a whole down window
  // counts as above High, as it would if nothing were ready.
  const bool stranded = wanted_since_ && now - *wanted_since_ >= settings_.down_window_s;
  if (reading.score > settings_.high || stranded) {
    if (!stranded &&
        !whole_window(settings_.up_window_s, [&](double s) { return s > settings_.high; })) {
      return 0;
    }
    if (since_scale <= settings_.up_cooldown_s) return 0;
    // What boots already counts: the step is what is still missing, up to its cap.
    const int by_share = static_cast<int>(settings_.max_step_share * reading.machines);
    const int max_step = std::max(settings_.max_step, by_share);
    const int resources = std::min(max_step, settings_.max_machines - reading.machines);
    return std::clamp(std::max(reading.wanted, reading.missing), 0, std::max(resources, 0));
  }
  if (reading.score < settings_.low) {
    if (!whole_window(settings_.down_window_s, [&](double s) { return s < settings_.low; })) {
      return 0;
    }
    if (since_scale <= settings_.down_cooldown_s) return 0;
    const int above = reading.machines - settings_.min_machines;
    const int by_share = static_cast<int>(std::ceil(settings_.step_share * reading.machines));
    return -std::clamp(std::max(settings_.step_machines, by_share), 0, std::max(above, 0));
  }
  return 0;
}

void Pool::stamp(int count, std::int64_t wall_ms) {
  state.count = count;
  state.scaled_ms = wall_ms;
}

std::map<PoolId, PoolReading> read_pools(ClusterState& cluster, const Shortfall& shortfall,
                                         double high) {
  struct Sum {
    double booked = 0;
    int ready = 0, booting = 0;
    wire::Resources asked;
  };
  std::map<PoolId, Sum> sums;
  for (const auto& [name, type] : cluster.types()) sums[{name, false}], sums[{name, true}];
  for (const auto& [id, m] : cluster.machines()) {
    const auto* type = cluster.type(m.kind.type);
    if (type == nullptr || m.cloud.failed || m.cloud.terminating) continue;
    Sum& sum = sums[pool_of(m.kind)];
    if (is_schedulable(cluster, m)) {
      ++sum.ready;
      sum.booked += largest_share(m.allocated, type->resources);
    } else if (is_starting(cluster, m)) {
      ++sum.booting;
    }
    // An ordinary machine that holds nothing but work for spot ones could be given back.
    const MachineKind as_spot{m.kind.type, m.kind.zone, true};
    const bool could_go =
        !m.kind.spot && std::all_of(m.tasks.begin(), m.tasks.end(), [&](const PlacementRef& held) {
          return allows(held.job->spec, as_spot);
        });
    if (could_go) sums[pool_of(as_spot)].asked += m.allocated;
  }
  for (const auto& [pool, resources] : shortfall.waiting) sums[pool].asked += resources;
  std::map<PoolId, PoolReading> out;
  for (const auto& [pool, sum] : sums) {
    PoolReading reading;
    reading.machines = sum.ready + sum.booting;
    for (const auto& [kind, n] : shortfall.wanted) {
      if (pool_of(kind) == pool) reading.wanted += n;
    }
    const double asked = largest_share(sum.asked, cluster.type(pool.type)->resources);
    if (sum.ready > 0) reading.score = sum.booked / sum.ready;
    if (reading.machines > 0) reading.score += asked / reading.machines;
    reading.missing =
        static_cast<int>(std::ceil((sum.booked + asked) / high - 1e-9)) - reading.machines;
    if (sum.ready == 0 && asked > 0) reading.score = std::max(reading.score, high + 1);
    out[pool] = reading;
  }
  return out;
}

}  // namespace cranklock::sched
