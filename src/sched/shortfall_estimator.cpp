#include "sched/shortfall_estimator.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "sched/availability.hpp"
#include "sched/best_fit.hpp"
#include "sched/scaler.hpp"

namespace cranklock::sched {
namespace {

std::size_t max_new_machines(const base::Settings& settings) {
  constexpr double kMemoryShare = 1.0 / 64;
  constexpr double kBytesPerMachine = 2 * sizeof(Candidate);  // the list may double its capacity
  return static_cast<std::size_t>(
      std::max(base::memory_bytes(settings, kMemoryShare) / kBytesPerMachine, 1.0));
}

}  // namespace

ShortfallEstimator::ShortfallEstimator(CandidateSet& candidates,
                                       const std::map<MachineKind, double>& refused_until,
                                       double now)
    : candidates_(candidates),
      refused_until_(refused_until),
      now_(now),
      max_new_machines_(max_new_machines(candidates.cluster().settings())) {}

void ShortfallEstimator::add_pending(const Job& job) {
  add({job, count_zones(candidates_.cluster(), job)}, job.pending_count(), DemandKind::pending);
}

void ShortfallEstimator::add_unreachable() {
  ClusterState& cluster = candidates_.cluster();
  if (!cluster.any_unreachable()) return;
  for (const auto& [id, job] : cluster.jobs()) {
    if (job.cancelled()) continue;
    ZoneCount reachable;
    std::uint32_t unreachable = 0;
    for (const auto& placement : job.placements) {
      const Machine* machine = placement.ended ? nullptr : cluster.machine(placement.machine);
      if (machine == nullptr) continue;
      if (cluster.is_unreachable(machine->kind.zone)) {
        ++unreachable;
      } else {
        reachable.add(machine->kind.zone);
      }
    }
    if (unreachable > 0) add({job, std::move(reachable)}, unreachable, DemandKind::replacement);
  }
}

void ShortfallEstimator::add(Search search, std::uint32_t missing, DemandKind demand) {
  const Job& job = search.job;
  missing = std::min(missing, max_requested_tasks(job));
  if (demand == DemandKind::pending) missing = count_within_limit(job, missing);
  while (missing > 0) {
    Candidate* candidate = find_candidate(search, demand);
    if (candidate != nullptr) {
      missing -= allocate(search, *candidate, missing);
      continue;
    }
    const auto kind = cheapest_kind(search);
    if (!kind) return;
    if (may_add_machine(*kind)) {
      missing -= allocate(search, add_machine(*kind), missing);
    } else {
      missing -= request_resources(search, *kind, missing);
    }
  }
}

/// Packs up to `max_tasks` tasks of the job onto a candidate on which one fits; returns how many.
std::uint32_t ShortfallEstimator::allocate(Search& search, Candidate& candidate,
                                           std::uint32_t max_tasks) {
  const wire::JobSpec& spec = search.job.spec;
  const auto available = candidates_.available_to(search.job, candidate);
  const std::uint32_t fitting = std::max(fitting_tasks(spec.resources, available), 1U);
  const std::uint32_t tasks = std::min(fitting, max_tasks);
  const std::uint32_t requested = request_resources(search, candidate.kind, tasks);
  candidate.free -= spec.resources * requested;
  return requested;
}

/// Requests the resources of up to `max_tasks` tasks, as many as the zone rules allow there, from
/// the pool of the kind; returns how many.
std::uint32_t ShortfallEstimator::request_resources(Search& search, const MachineKind& kind,
                                                    std::uint32_t max_tasks) {
  const wire::JobSpec& spec = search.job.spec;
  const std::uint32_t tasks =
      std::min(tasks_allowed_in_zone(spec, search.zones, kind.zone), max_tasks);
  shortfall_.requested[pool_of(kind)] += spec.resources * tasks;
  search.zones.add(kind.zone, tasks);
  return tasks;
}

/// How many tasks of the job may request machines. While a job fails wherever it runs, it is
/// retried on existing machines. Guards against a wait without end where none is left (invariant
/// 21).
std::uint32_t ShortfallEstimator::max_requested_tasks(const Job& job) const {
  if (job.retry.failed_rounds == 0) return job.spec.tasks;
  const double cancel_s = candidates_.cluster().settings().cancel_s;
  if (now_ < job.retry.backoff_until + cancel_s) return 0;
  return job.spec.kind == wire::JobKind::gang ? job.spec.tasks : 1;
}

/// Adds up to `max_tasks` tasks of the job to the planned resources of its team, as many as the
/// team's quota limit allows; returns how many.
std::uint32_t ShortfallEstimator::count_within_limit(const Job& job, std::uint32_t max_tasks) {
  wire::Resources& planned = planned_by_team_[job.spec.team];
  const auto within_limit = [&](std::uint32_t tasks) {
    return within_quota_limit(candidates_.cluster(), job.spec.team,
                              planned + job.spec.resources * tasks);
  };
  std::uint32_t allowed = 0, excessive = max_tasks + 1;  // the largest allowed number is between
  while (excessive - allowed > 1) {
    const std::uint32_t middle = allowed + (excessive - allowed) / 2;
    (within_limit(middle) ? allowed : excessive) = middle;
  }
  planned += job.spec.resources * allowed;
  return allowed;
}

/// A schedulable, starting or newly added machine with enough free resources; null if there is
/// none.
Candidate* ShortfallEstimator::find_candidate(Search& search, DemandKind demand) {
  // Some tasks of a gang, or some replacements, may fit on schedulable machines; only the others
  // need new machines.
  if (demand == DemandKind::replacement || search.job.spec.kind == wire::JobKind::gang) {
    auto* ready = next_fitting(candidates_.schedulable(), search.schedulable, search);
    if (ready != nullptr) return ready;
  }
  auto* starting = next_fitting(candidates_.starting(), search.starting, search);
  if (starting != nullptr) return starting;
  return next_fitting(new_machines_, search.added, search);
}

/// The first candidate at or after `position` on which a task fits; moves `position` to it.
Candidate* ShortfallEstimator::next_fitting(std::vector<Candidate>& list, std::size_t& position,
                                            const Search& search) {
  const wire::JobSpec& spec = search.job.spec;
  for (; position < list.size(); ++position) {
    Candidate& candidate = list[position];
    if (spec.resources.fits_in(candidates_.available_to(search.job, candidate)) &&
        allows(spec, candidate.kind) && zone_rules_allow(spec, search.zones, candidate.kind.zone)) {
      return &candidate;
    }
  }
  return nullptr;
}

/// Whether one more new machine of the kind is worth considering: its pool could still add it in
/// one step, and the pass may hold it (invariant 23).
bool ShortfallEstimator::may_add_machine(const MachineKind& kind) {
  if (new_machines_.size() >= max_new_machines_) return false;
  const auto wanted = shortfall_.wanted.find(kind);
  return wanted == shortfall_.wanted.end() || wanted->second < max_step(pool_of(kind));
}

/// The most machines that one step adds to the pool.
int ShortfallEstimator::max_step(const PoolId& pool) {
  if (machines_by_pool_.empty()) {
    for (const auto& candidate : candidates_.schedulable()) {
      ++machines_by_pool_[pool_of(candidate.kind)];
    }
    for (const auto& candidate : candidates_.starting()) {
      ++machines_by_pool_[pool_of(candidate.kind)];
    }
  }
  const auto machines = machines_by_pool_.find(pool);
  return max_scale_out_step(candidates_.cluster().settings().operator_settings.scaler,
                            machines == machines_by_pool_.end() ? 0 : machines->second);
}

/// Adds a new machine. Valid until the next call.
Candidate& ShortfallEstimator::add_machine(const MachineKind& kind) {
  ++shortfall_.wanted[kind];
  const auto* type = candidates_.cluster().type(kind.type);
  new_machines_.push_back({kind, type->resources, nullptr, {}, nullptr, type});
  return new_machines_.back();
}

/// Whether a machine of this kind may be requested now for a task of the job.
bool ShortfallEstimator::may_scale_out(const Search& search, const MachineKind& kind) const {
  const wire::JobSpec& spec = search.job.spec;
  if (!allows(spec, kind) || !zone_rules_allow(spec, search.zones, kind.zone)) return false;
  const auto refused = refused_until_.find(kind);
  return refused == refused_until_.end() || refused->second <= now_;
}

/// The price of the share of such a machine that one task takes, with penalties for the zone. Small
/// additional penalties distribute otherwise equal choices over zones and kinds.
double ShortfallEstimator::weighted_price(const Search& search, const MachineKind& kind,
                                          const wire::MachineType& type) const {
  constexpr double kSameZoneWeight = 0.01;   // per task of the job in the zone
  constexpr double kSameKindWeight = 0.001;  // per machine of the kind already wanted
  const ClusterState& cluster = candidates_.cluster();
  const Job& job = search.job;
  double price = (kind.spot ? type.spot_price : type.price) *
                 dominant_share(job.spec.resources, type.resources);
  if (lacks_local_controller(cluster, job, kind.zone)) price *= 1 + kNoLocalControllerWeight;
  // Where boots are late or overdue, tasks wait longer and more is paid for machines that never
  // become ready.
  price *= cluster.boot_penalty(type, kind.zone, now_);
  price *= 1 + kSameZoneWeight * search.zones.tasks_in(kind.zone);
  const auto wanted = shortfall_.wanted.find(kind);
  if (wanted != shortfall_.wanted.end()) price *= 1 + kSameKindWeight * wanted->second;
  return price;
}

/// The kind with the lowest weighted price for one task; on a tie spot before ordinary, then the
/// first kind found.
std::optional<MachineKind> ShortfallEstimator::cheapest_kind(const Search& search) const {
  const ClusterState& cluster = candidates_.cluster();
  std::optional<MachineKind> best;
  double best_price = std::numeric_limits<double>::infinity();
  const auto consider = [&](const MachineKind& kind, const wire::MachineType& type) {
    if (!may_scale_out(search, kind)) return;
    const double price = weighted_price(search, kind, type);
    if (price < best_price) {
      best = kind;
      best_price = price;
    }
  };
  for (const auto& [name, type] : cluster.types()) {
    if (!search.job.spec.resources.fits_in(type.resources)) continue;
    for (const auto& zone : type.zones) {
      if (cluster.is_unreachable(zone)) continue;
      consider({name, zone, true}, type);
      consider({name, zone, false}, type);
    }
  }
  return best;
}

}  // namespace cranklock::sched
