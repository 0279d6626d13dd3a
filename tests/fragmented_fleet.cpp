#include "fragmented_fleet.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace cranklock::testing {
namespace {

constexpr double kGpus = 8, kFetchGbPerS = 2;

wire::Resources resources_for(double gpus) {
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
    spec.resources = resources_for(gpus);
    spec.image = "img-" + std::to_string(draw(0, 3));
    spec.image_gb = 4;
    return spec;
  };
  for (int i = 0; i < size.hosts; ++i) {
    defrag::Host host;
    host.id = "n-" + std::to_string(i);
    host.kind = {"g8", std::string(1, static_cast<char>('a' + i % size.zones)), false};
    host.free = resources_for(kGpus);
    host.fetch_gb_per_s = kFetchGbPerS;
    host.accepts_tasks = draw(0, 9) > 0;
    for (int n = draw(size.min_hosted_tasks, size.max_hosted_tasks); n > 0; --n) {
      wire::JobSpec& spec = add_spec(1 << draw(0, 2));
      if (!spec.resources.fits_in(host.free)) continue;
      host.free -= spec.resources;
      host.images.insert(spec.image);
      defrag::HostedTask hosted_task{{spec.id, 0}, &spec, std::nullopt, draw(0, 4) == 0};
      if (draw(0, 4) > 0) hosted_task.move_cost_s = draw(1, 20);
      host.hosted_tasks.push_back(std::move(hosted_task));
    }
    hosts.push_back(std::move(host));
  }
  wire::JobSpec& spec = add_spec(draw(4, 8));
  spec.tasks = static_cast<std::uint32_t>(draw(1, 2));
  spec.one_zone = draw(0, 3) == 0;
  spec.spread = !spec.one_zone && draw(0, 3) == 0;
  demand = {&spec, spec.tasks};
}

double FragmentedFleet::move_cost(const defrag::HostedTask& hosted_task, std::size_t to) const {
  const bool has_image = hosts[to].images.contains(hosted_task.spec->image);
  return *hosted_task.move_cost_s + (has_image ? 0 : hosted_task.spec->image_gb / kFetchGbPerS);
}

bool FragmentedFleet::may_move_to(std::size_t from, const defrag::HostedTask& hosted_task,
                                  std::size_t to) const {
  const bool same_zone = hosts[from].kind.zone == hosts[to].kind.zone;
  return from != to && hosts[to].accepts_tasks &&
         sched::allows(*hosted_task.spec, hosts[to].kind) && (same_zone || !hosted_task.zone_bound);
}

std::string FragmentedFleet::find_violation(const defrag::Plan& plan) const {
  std::vector<wire::Resources> while_moving, after;
  for (const auto& host : hosts) {
    while_moving.push_back(host.free);
    after.push_back(host.free);
  }
  double cost = 0;
  std::set<std::pair<std::size_t, std::size_t>> moved;
  std::set<std::size_t> sources, targets;
  for (const auto& move : plan.moves) {
    const auto& hosted_task = hosts[move.from].hosted_tasks[move.hosted_task];
    if (!hosted_task.move_cost_s) return "a task that must not move is moved";
    if (!moved.emplace(move.from, move.hosted_task).second) return "a task is moved twice";
    if (!may_move_to(move.from, hosted_task, move.to)) return "the target of a move is not allowed";
    while_moving[move.to] -= hosted_task.spec->resources;
    after[move.to] -= hosted_task.spec->resources;
    after[move.from] += hosted_task.spec->resources;
    sources.insert(move.from);
    targets.insert(move.to);
    cost += move_cost(hosted_task, move.to);
    if (std::abs(move.cost_s - move_cost(hosted_task, move.to)) > 1e-6)
      return "the cost of a move is wrong";
  }
  if (std::abs(cost - plan.cost_s) > 1e-6) return "the sum of costs is wrong";
  for (const auto host : sources) {
    if (targets.contains(host)) return "a machine is both source and target";
  }
  if (plan.places.size() != demand.tasks) return "not all tasks have a place";
  std::map<std::string, std::size_t> by_zone;
  for (const auto place : plan.places) {
    after[place] -= demand.spec->resources;
    if (!sources.contains(place)) while_moving[place] -= demand.spec->resources;
    ++by_zone[hosts[place].kind.zone];
    if (!hosts[place].accepts_tasks) return "the host of a place accepts no new tasks";
  }
  const wire::Resources none;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    if (!none.fits_in(while_moving[i])) return "a host is overcommitted while both copies run";
    if (!none.fits_in(after[i])) return "a host is overcommitted after the moves";
  }
  if (demand.spec->one_zone && by_zone.size() > 1)
    return "a one-zone demand is placed in several zones";
  for (const auto& [zone, tasks] : by_zone) {
    if (demand.spec->spread && tasks > (demand.spec->tasks + 1) / 2)
      return "a zone holds too many tasks of a spread demand";
  }
  return "";
}

struct FragmentedFleet::SearchState {
  std::vector<wire::Resources> before,
      after;  ///< free resources while both copies run, and afterwards
  double cost = 0;
  double best = std::numeric_limits<double>::infinity();
};

bool FragmentedFleet::demand_fits(const SearchState& state) const {
  std::map<std::string, std::size_t> by_zone;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    wire::Resources left = state.after[i];
    while (hosts[i].accepts_tasks && demand.spec->resources.fits_in(left)) {
      left -= demand.spec->resources;
      ++by_zone[hosts[i].kind.zone];
    }
  }
  std::size_t sum = 0, most = 0;
  for (const auto& [zone, fitting_tasks] : by_zone) {
    const std::size_t allowed =
        demand.spec->spread ? std::min<std::size_t>(fitting_tasks, (demand.spec->tasks + 1) / 2)
                            : fitting_tasks;
    sum += allowed;
    most = std::max(most, allowed);
  }
  return (demand.spec->one_zone ? most : sum) >= demand.tasks;
}

void FragmentedFleet::search_from(SearchState& state, std::size_t host,
                                  std::size_t hosted_task) const {
  if (state.cost >= state.best) return;
  if (host == hosts.size()) {
    if (demand_fits(state)) state.best = state.cost;
    return;
  }
  if (hosted_task == hosts[host].hosted_tasks.size()) return search_from(state, host + 1, 0);
  search_from(state, host, hosted_task + 1);  // the task does not move
  const auto& moved = hosts[host].hosted_tasks[hosted_task];
  if (!moved.move_cost_s) return;
  for (std::size_t to = 0; to < hosts.size(); ++to) {
    if (!may_move_to(host, moved, to) || !moved.spec->resources.fits_in(state.before[to])) continue;
    const SearchState kept = state;
    state.before[to] -= moved.spec->resources;
    state.after[to] -= moved.spec->resources;
    state.after[host] += moved.spec->resources;
    state.cost += move_cost(moved, to);
    search_from(state, host, hosted_task + 1);
    const double best = state.best;
    state = kept;
    state.best = best;
  }
}

std::optional<double> FragmentedFleet::best_cost() const {
  SearchState state;
  for (const auto& host : hosts) state.before.push_back(host.free);
  state.after = state.before;
  search_from(state, 0, 0);
  if (state.best == std::numeric_limits<double>::infinity()) return std::nullopt;
  return state.best;
}

}  // namespace cranklock::testing
