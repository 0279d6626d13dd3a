#include "defrag/planner.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

namespace cranklock::defrag {
namespace {

using wire::Resources;

/// The order in which machines are emptied, where several cost the same or nearly so.
enum class Preference { min_cost, min_moves, min_resources };

constexpr double kNever = std::numeric_limits<double>::infinity();

double size_of(const Resources& resources) {
  // GPUs are what is scarce; CPUs and memory only tell equal ones apart.
  constexpr double kCpuWeight = 1e-3, kMemoryWeight = 1e-4;
  return resources.gpus + kCpuWeight * resources.cpus + kMemoryWeight * resources.memory_gb;
}

double fetch_s(const Resident& resident, const Host& host) {
  constexpr double kMinRate = 0.01;
  if (host.images.contains(resident.spec->image)) return 0;
  return resident.spec->image_gb / std::max(host.fetch_gb_per_s, kMinRate);
}

/// Residents whose moves make room for one task more on a host.
struct Eviction {
  std::vector<std::size_t> residents;
  double cost_s = 0;
};

class Search {
 public:
  Search(const std::vector<Host>& hosts, const Demand& demand, const PlanLimits& limits,
         std::size_t& looks)
      : hosts_(hosts), demand_(demand), limits_(limits), looks_(looks) {}

  /// One plan, or none. `zone` bounds where the demand is placed; empty: anywhere.
  std::optional<Plan> run(const std::string& zone, Preference preference);
  bool looked_long() const { return looks_ >= limits_.max_candidates; }

 private:
  /// What the plan has done to a host so far.
  struct Use {
    Resources free;
    std::set<std::size_t> leaving;
    std::size_t places = 0;
    bool gives = false, takes = false;
    bool hopeless = false;  ///< its residents find no other machine
  };

  bool may_hold(std::size_t host, const std::string& zone) const;
  bool zone_has_room(const std::string& zone) const;
  bool use_free_room(const std::string& zone);
  bool empty_one(const std::string& zone, Preference preference);
  std::optional<Eviction> cheapest_eviction(std::size_t host);
  std::optional<Eviction> best_subset(std::size_t host, const std::vector<std::size_t>& movable);
  bool move_away(std::size_t host, const Eviction& eviction);
  std::optional<std::size_t> target_for(const Resident& resident, std::size_t from);
  void place_on(std::size_t host);
  double priority(const Eviction& eviction, std::size_t host, Preference preference) const;

  const std::vector<Host>& hosts_;
  const Demand& demand_;
  const PlanLimits& limits_;
  std::size_t& looks_;
  std::vector<Use> use_;
  std::map<std::string, std::size_t> placed_in_;  ///< tasks of the demand, by zone
  Plan plan_;
};

bool Search::may_hold(std::size_t host, const std::string& zone) const {
  const Host& candidate = hosts_[host];
  return candidate.receives && sched::allows(*demand_.spec, candidate.kind) &&
         (zone.empty() || candidate.kind.zone == zone) && zone_has_room(candidate.kind.zone);
}

bool Search::zone_has_room(const std::string& zone) const {
  if (!demand_.spec->spread) return true;
  const auto placed = placed_in_.find(zone);
  const std::size_t here = placed == placed_in_.end() ? 0 : placed->second;
  return here + 1 <= (demand_.spec->tasks + 1) / 2;
}

void Search::place_on(std::size_t host) {
  use_[host].free -= demand_.spec->resources;
  ++use_[host].places;
  ++placed_in_[hosts_[host].kind.zone];
  plan_.places.push_back(host);
}

// The fullest machine that still has the room, so that larger pieces stay for what is moved.
bool Search::use_free_room(const std::string& zone) {
  std::size_t best = hosts_.size();
  looks_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (!demand_.spec->resources.fits_in(use_[i].free) || !may_hold(i, zone)) continue;
    if (best == hosts_.size() || size_of(use_[i].free) < size_of(use_[best].free)) best = i;
  }
  if (best == hosts_.size()) return false;
  place_on(best);
  return true;
}

// All subsets are tried of up to so many residents; a machine of eight GPUs seldom has more.
std::optional<Eviction> Search::best_subset(std::size_t host,
                                            const std::vector<std::size_t>& movable) {
  const Host& from = hosts_[host];
  std::optional<Eviction> best;
  const std::uint32_t subsets = 1U << movable.size();
  for (std::uint32_t subset = 1; subset < subsets; ++subset) {
    Resources freed = use_[host].free;
    Eviction eviction;
    for (std::size_t i = 0; i < movable.size(); ++i) {
      if ((subset >> i & 1U) == 0) continue;
      const Resident& resident = from.residents[movable[i]];
      freed += resident.spec->resources;
      eviction.cost_s += *resident.move_cost_s;
      eviction.residents.push_back(movable[i]);
    }
    const bool better = !best || std::pair(eviction.cost_s, eviction.residents.size()) <
                                     std::pair(best->cost_s, best->residents.size());
    if (better && demand_.spec->resources.fits_in(freed)) best = std::move(eviction);
  }
  return best;
}

std::optional<Eviction> Search::cheapest_eviction(std::size_t host) {
  constexpr std::size_t kMaxTried = 10;
  const Host& from = hosts_[host];
  std::vector<std::size_t> movable;
  Resources most = use_[host].free;
  for (std::size_t i = 0; i < from.residents.size(); ++i) {
    if (!from.residents[i].move_cost_s || use_[host].leaving.contains(i)) continue;
    movable.push_back(i);
    most += from.residents[i].spec->resources;
  }
  if (!demand_.spec->resources.fits_in(most)) return std::nullopt;
  // Of more, those that cost least for their size.
  std::sort(movable.begin(), movable.end(), [&](std::size_t a, std::size_t b) {
    const auto price = [&](std::size_t i) {
      const Resident& resident = from.residents[i];
      return *resident.move_cost_s / std::max(size_of(resident.spec->resources), 1e-9);
    };
    return price(a) < price(b);
  });
  if (movable.size() <= kMaxTried) return best_subset(host, movable);
  Eviction eviction;
  Resources freed = use_[host].free;
  for (const auto i : movable) {
    if (demand_.spec->resources.fits_in(freed)) break;
    freed += from.residents[i].spec->resources;
    eviction.cost_s += *from.residents[i].move_cost_s;
    eviction.residents.push_back(i);
  }
  return eviction;
}

double Search::priority(const Eviction& eviction, std::size_t host, Preference preference) const {
  switch (preference) {
    case Preference::min_cost:
      return eviction.cost_s;
    case Preference::min_moves:
      return static_cast<double>(eviction.residents.size());
    case Preference::min_resources:
      break;
  }
  double size = 0;
  for (const auto i : eviction.residents)
    size += size_of(hosts_[host].residents[i].spec->resources);
  return size;
}

std::optional<std::size_t> Search::target_for(const Resident& resident, std::size_t from) {
  std::optional<std::size_t> best;
  std::pair<double, double> best_cost{kNever, kNever};
  looks_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    if (i == from || use_[i].gives || !host.receives) continue;
    if (!resident.spec->resources.fits_in(use_[i].free)) continue;
    if (!sched::allows(*resident.spec, host.kind)) continue;
    if (resident.zone_bound && host.kind.zone != hosts_[from].kind.zone) continue;
    // Best fit among equally dear ones.
    const std::pair cost{fetch_s(resident, host), size_of(use_[i].free)};
    if (cost < best_cost) best = i, best_cost = cost;
  }
  return best;
}

// All of them or none: a machine that is half emptied has gained nothing.
bool Search::move_away(std::size_t host, const Eviction& eviction) {
  const auto before = use_;
  const auto moves_before = plan_.moves.size();
  const double cost_before = plan_.cost_s;
  auto order = eviction.residents;
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return size_of(hosts_[host].residents[a].spec->resources) >
           size_of(hosts_[host].residents[b].spec->resources);
  });
  use_[host].gives = true;
  for (const auto i : order) {
    const Resident& resident = hosts_[host].residents[i];
    const auto target = target_for(resident, host);
    if (!target) {
      use_ = before;
      plan_.moves.resize(moves_before);
      plan_.cost_s = cost_before;
      return false;
    }
    const double cost = *resident.move_cost_s + fetch_s(resident, hosts_[*target]);
    use_[*target].free -= resident.spec->resources;
    use_[*target].takes = true;
    use_[host].free += resident.spec->resources;
    use_[host].leaving.insert(i);
    plan_.moves.push_back({host, i, *target, cost});
    plan_.cost_s += cost;
  }
  return true;
}

// The machine that is best to empty and whose residents find other machines.
bool Search::empty_one(const std::string& zone, Preference preference) {
  struct Option {
    std::size_t host;
    Eviction eviction;
    double priority;
  };
  std::vector<Option> options;
  looks_ += hosts_.size();
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    if (use_[i].takes || use_[i].hopeless || !may_hold(i, zone)) continue;
    if (auto eviction = cheapest_eviction(i)) {
      const double value = priority(*eviction, i, preference);
      options.push_back({i, std::move(*eviction), value});
    }
  }
  std::stable_sort(options.begin(), options.end(),
                   [](const Option& a, const Option& b) { return a.priority < b.priority; });
  for (const auto& option : options) {
    if (looked_long()) return false;
    if (move_away(option.host, option.eviction)) {
      place_on(option.host);
      return true;
    }
    use_[option.host].hopeless = true;  // room elsewhere only shrinks
  }
  return false;
}

std::optional<Plan> Search::run(const std::string& zone, Preference preference) {
  use_.clear();
  placed_in_.clear();
  plan_ = {};
  for (const auto& host : hosts_) use_.push_back({host.free, {}, 0, false, false, false});
  while (plan_.places.size() < demand_.tasks) {
    if (looked_long()) return std::nullopt;
    if (!use_free_room(zone) && !empty_one(zone, preference)) return std::nullopt;
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

Planned plan_moves(const std::vector<Host>& hosts, const Demand& demand, const PlanLimits& limits) {
  constexpr std::array kPreferences{Preference::min_cost, Preference::min_moves,
                                    Preference::min_resources};
  Planned planned;
  std::size_t looks = 0;
  Search search(hosts, demand, limits, looks);
  for (const auto& zone : zones_to_try(hosts, demand)) {
    for (const auto preference : kPreferences) {
      auto plan = search.run(zone, preference);
      if (!plan) continue;
      if (plan->moves.size() > limits.max_moves || plan->cost_s > limits.max_cost_s) {
        planned.why = NoPlan::too_dear;
      } else if (!planned.plan || plan->cost_s < planned.plan->cost_s) {
        planned.plan = std::move(plan);
      }
    }
  }
  if (!planned.plan && search.looked_long()) planned.why = NoPlan::looked_long;
  return planned;
}

}  // namespace cranklock::defrag
