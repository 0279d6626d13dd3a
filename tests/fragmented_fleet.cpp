#include "fragmented_fleet.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace cranklock::testing {
namespace {

constexpr double kGpus = 8, kFetchRate = 2;

wire::Resources room_of(double gpus) {
  return {12 * gpus, gpus, 96 * gpus};
}

}  // namespace

FragmentedFleet::FragmentedFleet(const Size& size, unsigned seed) {
  std::mt19937 random(seed);
  const auto draw = [&](int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random);
  };
  const auto add_spec = [&](double gpus) -> wire::JobSpec& {
    wire::JobSpec& spec = specs_.emplace_back();
    spec.id = "j-" + std::to_string(100'000 + specs_.size());
    spec.resources = room_of(gpus);
    spec.image = "img-" + std::to_string(draw(0, 3));
    spec.image_gb = 4;
    return spec;
  };
  for (int i = 0; i < size.hosts; ++i) {
    defrag::Host host;
    host.id = "n-" + std::to_string(i);
    host.kind = {"g8", std::string(1, static_cast<char>('a' + i % size.zones)), false};
    host.free = room_of(kGpus);
    host.fetch_gb_per_s = kFetchRate;
    host.receives = draw(0, 9) > 0;
    for (int n = draw(size.min_residents, size.max_residents); n > 0; --n) {
      wire::JobSpec& spec = add_spec(1 << draw(0, 2));
      if (!spec.resources.fits_in(host.free)) continue;
      host.free -= spec.resources;
      host.images.insert(spec.image);
      defrag::Resident resident{{spec.id, 0}, &spec, std::nullopt, draw(0, 4) == 0};
      if (draw(0, 4) > 0) resident.move_cost_s = draw(1, 20);
      host.residents.push_back(std::move(resident));
    }
    hosts.push_back(std::move(host));
  }
  wire::JobSpec& spec = add_spec(draw(4, 8));
  spec.tasks = static_cast<std::uint32_t>(draw(1, 2));
  spec.one_zone = draw(0, 3) == 0;
  spec.spread = !spec.one_zone && draw(0, 3) == 0;
  demand = {&spec, spec.tasks};
}

double FragmentedFleet::move_cost(const defrag::Resident& resident, std::size_t to) const {
  const bool has_image = hosts[to].images.contains(resident.spec->image);
  return *resident.move_cost_s + (has_image ? 0 : resident.spec->image_gb / kFetchRate);
}

bool FragmentedFleet::may_take(std::size_t from, const defrag::Resident& resident,
                               std::size_t to) const {
  const bool same_zone = hosts[from].kind.zone == hosts[to].kind.zone;
  return from != to && hosts[to].receives && sched::allows(*resident.spec, hosts[to].kind) &&
         (same_zone || !resident.zone_bound);
}

std::string FragmentedFleet::fault_of(const defrag::Plan& plan) const {
  std::vector<wire::Resources> while_moving, after;
  for (const auto& host : hosts) {
    while_moving.push_back(host.free);
    after.push_back(host.free);
  }
  double cost = 0;
  std::set<std::pair<std::size_t, std::size_t>> moved;
  std::set<std::size_t> gives, takes;
  for (const auto& move : plan.moves) {
    const auto& resident = hosts[move.from].residents[move.resident];
    if (!resident.move_cost_s) return "it moves what may not move";
    if (!moved.emplace(move.from, move.resident).second) return "it moves a task twice";
    if (!may_take(move.from, resident, move.to)) return "a target is not allowed";
    while_moving[move.to] -= resident.spec->resources;
    after[move.to] -= resident.spec->resources;
    after[move.from] += resident.spec->resources;
    gives.insert(move.from);
    takes.insert(move.to);
    cost += move_cost(resident, move.to);
    if (std::abs(move.cost_s - move_cost(resident, move.to)) > 1e-6) return "a cost is wrong";
  }
  if (std::abs(cost - plan.cost_s) > 1e-6) return "the sum of costs is wrong";
  for (const auto host : gives) {
    if (takes.contains(host)) return "a machine both gives and takes";
  }
  if (plan.places.size() != demand.tasks) return "not all tasks have a place";
  std::map<std::string, std::size_t> by_zone;
  for (const auto place : plan.places) {
    after[place] -= demand.spec->resources;
    if (!gives.contains(place)) while_moving[place] -= demand.spec->resources;
    ++by_zone[hosts[place].kind.zone];
    if (!hosts[place].receives) return "a place takes nothing new";
  }
  const wire::Resources none;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (!none.fits_in(while_moving[i])) return "no room while both copies run";
    if (!none.fits_in(after[i])) return "no room for a place";
  }
  if (demand.spec->one_zone && by_zone.size() > 1) return "several zones";
  for (const auto& [zone, tasks] : by_zone) {
    if (demand.spec->spread && tasks > (demand.spec->tasks + 1) / 2) return "not spread";
  }
  return "";
}

struct FragmentedFleet::Trial {
  std::vector<wire::Resources> before, after;  ///< free room while both copies run, and then
  double cost = 0;
  double best = std::numeric_limits<double>::infinity();
};

bool FragmentedFleet::demand_fits(const Trial& trial) const {
  std::map<std::string, std::size_t> by_zone;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    wire::Resources left = trial.after[i];
    while (hosts[i].receives && demand.spec->resources.fits_in(left)) {
      left -= demand.spec->resources;
      ++by_zone[hosts[i].kind.zone];
    }
  }
  std::size_t sum = 0, most = 0;
  for (const auto& [zone, room_for] : by_zone) {
    const std::size_t allowed = demand.spec->spread
                                    ? std::min<std::size_t>(room_for, (demand.spec->tasks + 1) / 2)
                                    : room_for;
    sum += allowed;
    most = std::max(most, allowed);
  }
  return (demand.spec->one_zone ? most : sum) >= demand.tasks;
}

void FragmentedFleet::try_from(Trial& trial, std::size_t host, std::size_t resident) const {
  if (trial.cost >= trial.best) return;
  if (host == hosts.size()) {
    if (demand_fits(trial)) trial.best = trial.cost;
    return;
  }
  if (resident == hosts[host].residents.size()) return try_from(trial, host + 1, 0);
  try_from(trial, host, resident + 1);  // it stays
  const auto& moved = hosts[host].residents[resident];
  if (!moved.move_cost_s) return;
  for (std::size_t to = 0; to < hosts.size(); ++to) {
    if (!may_take(host, moved, to) || !moved.spec->resources.fits_in(trial.before[to])) continue;
    const Trial kept = trial;
    trial.before[to] -= moved.spec->resources;
    trial.after[to] -= moved.spec->resources;
    trial.after[host] += moved.spec->resources;
    trial.cost += move_cost(moved, to);
    try_from(trial, host, resident + 1);
    const double best = trial.best;
    trial = kept;
    trial.best = best;
  }
}

std::optional<double> FragmentedFleet::best_cost() const {
  Trial trial;
  for (const auto& host : hosts) trial.before.push_back(host.free);
  trial.after = trial.before;
  try_from(trial, 0, 0);
  if (trial.best == std::numeric_limits<double>::infinity()) return std::nullopt;
  return trial.best;
}

}  // namespace cranklock::testing
