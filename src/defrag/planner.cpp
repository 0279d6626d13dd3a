#include "defrag/planner.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

#include "sched/run_time.hpp"

namespace cranklock::defrag {
namespace {

using wire::Resources;

/// How eviction candidates are ranked.
enum class Preference { min_cost, min_moves, min_resources };

constexpr double kInfiniteCost = std::numeric_limits<double>::infinity();

double resource_size(const Resources& resources) {
  // GPUs are the scarce resource; CPUs and memory only break ties.
  constexpr double kCpuWeight = 1e-3, kMemoryWeight = 1e-4;
  return resources.gpus + kCpuWeight * resources.cpus + kMemoryWeight * resources.memory_gb;
}

double fetch_s(const HostedTask& hosted_task, const Host& host) {
  if (host.images.contains(hosted_task.spec->image)) return 0;
  return sched::image_fetch_s(*hosted_task.spec, host.fetch_gb_per_s);
}

/// Hosted tasks whose moves free resources for one more task on a host.
struct Eviction {
  std::vector<std::size_t> hosted_tasks;
  double cost_s = 0;
};

class Search {
 public:
  Search(const std::vector<Host>& hosts, const Demand& demand, const PlanLimits& limits,
         std::size_t& evaluated_hosts)
      : hosts_(hosts), demand_(demand), limits_(limits), evaluated_hosts_(evaluated_hosts) {}

  /// Returns one plan, or none. `zone` restricts where the demand is placed; empty: any zone.
  std::optional<Plan> run(const std::string& zone, Preference preference);
  bool is_search_limit_reached() const { return evaluated_hosts_ >= limits_.max_evaluated_hosts; }

 private:
  /// The effect of the plan on a host so far.
  struct HostUsage {
    Resources free;
    std::set<std::size_t> evicted;
    std::size_t places = 0;
    bool is_source = false, is_target = false;
    bool cannot_evict = false;  ///< no other machine was found for the tasks to evict
  };

  bool may_place_on(std::size_t host, const std::string& zone) const;
  /// Whether the zone may get one more task. With a spread demand, a zone gets at most half of the
  /// job's tasks, rounded up.
  bool is_zone_share_free(const std::string& zone) const;
  bool place_in_free_capacity(const std::string& zone);
  bool evict_and_place(const std::string& zone, Preference preference);
  std::optional<Eviction> cheapest_eviction(std::size_t host);
  std::optional<Eviction> best_subset(std::size_t host, const std::vector<std::size_t>& movable);
  bool plan_eviction(std::size_t host, const Eviction& eviction);
  std::optional<std::size_t> find_target(const HostedTask& hosted_task, std::size_t from);
  void place_on(std::size_t host);
  double priority(const Eviction& eviction, std::size_t host, Preference preference) const;

  const std::vector<Host>& hosts_;
  const Demand& demand_;
  const PlanLimits& limits_;
  std::size_t& evaluated_hosts_;
  std::vector<HostUsage> usage_;
  std::map<std::string, std::size_t> placed_by_zone_;  ///< tasks of the demand
  Plan plan_;
};

bool Search::may_place_on(std::size_t host, const std::string& zone) const {
  const Host& candidate = hosts_[host];
  return candidate.accepts_tasks && sched::allows(*demand_.spec, candidate.kind) &&
         (zone.empty() || candidate.kind.zone == zone) && is_zone_share_free(candidate.kind.zone);
}

bool Search::is_zone_share_free(const std::string& zone) const {
  if (!demand_.spec->spread) return true;
  const auto placed = placed_by_zone_.find(zone);
  const std::size_t placed_here = placed == placed_by_zone_.end() ? 0 : placed->second;
  return placed_here + 1 <= (demand_.spec->tasks + 1) / 2;
}

void Search::place_on(std::size_t host) {
  usage_[host].free -= demand_.spec->resources;
  ++usage_[host].places;
  ++placed_by_zone_[hosts_[host].kind.zone];
  plan_.places.push_back(host);
}

// Chooses the host with the least free resources that fits, so that larger free blocks remain for
// moved tasks.
bool Search::place_in_free_capacity(const std::string& zone) {
  std::size_t best = hosts_.size();
  evaluated_hosts_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!demand_.spec->resources.fits_in(usage_[i].free) || !may_place_on(i, zone)) continue;
    if (best == hosts_.size() || resource_size(usage_[i].free) < resource_size(usage_[best].free))
      best = i;
  }
  if (best == hosts_.size()) return false;
  place_on(best);
  return true;
}

// Tries all subsets of the movable tasks, at most 2^kMaxExhaustiveTasks; a machine with eight GPUs
// rarely has more tasks.
std::optional<Eviction> Search::best_subset(std::size_t host,
                                            const std::vector<std::size_t>& movable) {
  const Host& from = hosts_[host];
  std::optional<Eviction> best;
  const std::uint32_t subsets = 1U << movable.size();
  for (std::uint32_t subset = 1; subset < subsets; ++subset) {
    Resources freed = usage_[host].free;
    Eviction eviction;
    for (std::size_t i = 0; i < movable.size(); ++i) {
      if ((subset >> i & 1U) == 0) continue;
      const HostedTask& hosted_task = from.hosted_tasks[movable[i]];
      freed += hosted_task.spec->resources;
      eviction.cost_s += *hosted_task.move_cost_s;
      eviction.hosted_tasks.push_back(movable[i]);
    }
    const bool better = !best || std::pair(eviction.cost_s, eviction.hosted_tasks.size()) <
                                     std::pair(best->cost_s, best->hosted_tasks.size());
    if (better && demand_.spec->resources.fits_in(freed)) best = std::move(eviction);
  }
  return best;
}

std::optional<Eviction> Search::cheapest_eviction(std::size_t host) {
  constexpr std::size_t kMaxExhaustiveTasks = 10;
  const Host& from = hosts_[host];
  std::vector<std::size_t> movable;
  Resources max_free = usage_[host].free;
  for (std::size_t i = 0; i < from.hosted_tasks.size(); ++i) {
    if (!from.hosted_tasks[i].move_cost_s || usage_[host].evicted.contains(i)) continue;
    movable.push_back(i);
    max_free += from.hosted_tasks[i].spec->resources;
  }
  if (!demand_.spec->resources.fits_in(max_free)) return std::nullopt;
  // With more tasks, those with the lowest cost for their size are chosen.
  std::sort(movable.begin(), movable.end(), [&](std::size_t a, std::size_t b) {
    const auto cost_per_size = [&](std::size_t i) {
      const HostedTask& hosted_task = from.hosted_tasks[i];
      return *hosted_task.move_cost_s / std::max(resource_size(hosted_task.spec->resources), 1e-9);
    };
    return cost_per_size(a) < cost_per_size(b);
  });
  if (movable.size() <= kMaxExhaustiveTasks) return best_subset(host, movable);
  Eviction eviction;
  Resources freed = usage_[host].free;
  for (const auto i : movable) {
    if (demand_.spec->resources.fits_in(freed)) break;
    freed += from.hosted_tasks[i].spec->resources;
    eviction.cost_s += *from.hosted_tasks[i].move_cost_s;
    eviction.hosted_tasks.push_back(i);
  }
  return eviction;
}

double Search::priority(const Eviction& eviction, std::size_t host, Preference preference) const {
  switch (preference) {
    case Preference::min_cost:
      return eviction.cost_s;
    case Preference::min_moves:
      return static_cast<double>(eviction.hosted_tasks.size());
    case Preference::min_resources:
      break;
  }
  double size = 0;
  for (const auto i : eviction.hosted_tasks)
    size += resource_size(hosts_[host].hosted_tasks[i].spec->resources);
  return size;
}

std::optional<std::size_t> Search::find_target(const HostedTask& hosted_task, std::size_t from) {
  std::optional<std::size_t> best;
  std::pair<double, double> best_cost{kInfiniteCost, kInfiniteCost};
  evaluated_hosts_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    if (i == from || usage_[i].is_source || !host.accepts_tasks) continue;
    if (!hosted_task.spec->resources.fits_in(usage_[i].free)) continue;
    if (!sched::allows(*hosted_task.spec, host.kind)) continue;
    if (hosted_task.zone_bound && host.kind.zone != hosts_[from].kind.zone) continue;
    // Best fit among targets of equal cost.
    const std::pair cost{fetch_s(hosted_task, host), resource_size(usage_[i].free)};
    if (cost < best_cost) best = i, best_cost = cost;
  }
  return best;
}

// Moves all tasks of the eviction or none: a partial eviction does not free enough.
bool Search::plan_eviction(std::size_t host, const Eviction& eviction) {
  const auto usage_before = usage_;
  const auto moves_before = plan_.moves.size();
  const double cost_before = plan_.cost_s;
  auto order = eviction.hosted_tasks;
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return resource_size(hosts_[host].hosted_tasks[a].spec->resources) >
           resource_size(hosts_[host].hosted_tasks[b].spec->resources);
  });
  usage_[host].is_source = true;
  for (const auto i : order) {
    const HostedTask& hosted_task = hosts_[host].hosted_tasks[i];
    const auto target = find_target(hosted_task, host);
    if (!target) {
      usage_ = usage_before;
      plan_.moves.resize(moves_before);
      plan_.cost_s = cost_before;
      return false;
    }
    const double cost = *hosted_task.move_cost_s + fetch_s(hosted_task, hosts_[*target]);
    usage_[*target].free -= hosted_task.spec->resources;
    usage_[*target].is_target = true;
    usage_[host].free += hosted_task.spec->resources;
    usage_[host].evicted.insert(i);
    plan_.moves.push_back({host, i, *target, cost});
    plan_.cost_s += cost;
  }
  return true;
}

// Places one task on the best-ranked host whose evicted tasks fit on other hosts.
bool Search::evict_and_place(const std::string& zone, Preference preference) {
  struct Option {
    std::size_t host;
    Eviction eviction;
    double priority;
  };
  std::vector<Option> options;
  evaluated_hosts_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (usage_[i].is_target || usage_[i].cannot_evict || !may_place_on(i, zone)) continue;
    if (auto eviction = cheapest_eviction(i)) {
      const double value = priority(*eviction, i, preference);
      options.push_back({i, std::move(*eviction), value});
    }
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& a, const Option& b) { return a.priority < b.priority; });
  for (const auto& option : options) {
    if (is_search_limit_reached()) return false;
    if (plan_eviction(option.host, option.eviction)) {
      place_on(option.host);
      return true;
    }
    usage_[option.host].cannot_evict = true;  // capacity elsewhere only shrinks during a search
  }
  return false;
}

std::optional<Plan> Search::run(const std::string& zone, Preference preference) {
  usage_.clear();
  placed_by_zone_.clear();
  plan_ = {};
  for (const auto& host : hosts_) usage_.push_back({host.free, {}, 0, false, false, false});
  while (plan_.places.size() < demand_.tasks) {
    if (is_search_limit_reached()) return std::nullopt;
    if (!place_in_free_capacity(zone) && !evict_and_place(zone, preference)) return std::nullopt;
  }
  return std::move(plan_);
}

std::vector<std::string> zones_to_try(const std::vector<Host>& hosts, const Demand& demand) {
  if (!demand.spec->one_zone) return {""};
  std::set<std::string> zones;
  for (const auto& host : hosts) zones.insert(host.kind.zone);
  return {zones.begin(), zones.end()};
}

}  // namespace

PlanResult plan_moves(const std::vector<Host>& hosts, const Demand& demand,
                      const PlanLimits& limits) {
  constexpr std::array kPreferences{Preference::min_cost, Preference::min_moves,
                                    Preference::min_resources};
  PlanResult result;
  std::size_t evaluated_hosts = 0;
  Search search(hosts, demand, limits, evaluated_hosts);
  for (const auto& zone : zones_to_try(hosts, demand)) {
    for (const auto preference : kPreferences) {
      auto plan = search.run(zone, preference);
      if (!plan) continue;
      if (plan->moves.size() > limits.max_moves || plan->cost_s > limits.max_cost_s) {
        result.no_plan_reason = NoPlanReason::too_expensive;
      } else if (!result.plan || plan->cost_s < result.plan->cost_s) {
        result.plan = std::move(plan);
      }
    }
  }
  if (!result.plan && search.is_search_limit_reached())
    result.no_plan_reason = NoPlanReason::search_limit_reached;
  return result;
}

}  // namespace cranklock::defrag
