#include "sched/placement_tracker.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::sched {

Placement& PlacementTracker::add(Job& job, std::uint32_t task, std::uint64_t attempt,
                                 const std::string& machine, double now) {
  Placement placement;
  placement.task = task;
  placement.attempt = attempt;
  placement.machine = machine;
  placement.decided_at = now;
  job.last_attempt = std::max(job.last_attempt, attempt);
  job.record.dirty = true;
  const auto added = job.placements.insert(job.position(task, attempt), std::move(placement));
  attach(job, *added);
  return *added;
}

void PlacementTracker::end(Job& job, Placement& placement, EndProof proof, double now) {
  if (placement.ended) return;
  job.record.dirty = true;
  changes_.raise();
  if (placement.write_unresolved()) {
    placement.write = PlacementWrite::abandoned;
    return;
  }
  detach(job, placement, now);
  placement.ended = true;
  attach(job, placement);
  end_observer_(job, placement, proof);
}

void PlacementTracker::resolve_abandoned(Job& job, Placement& placement, double now) {
  const bool dirty = job.record.dirty;
  if (placement.write_unresolved()) placement.write = PlacementWrite::pending;
  end(job, placement, EndProof::write_superseded, now);
  job.record.dirty = dirty;
}

void PlacementTracker::erase_ended(Job& job, const std::set<PlacementKey>& written) {
  std::erase_if(job.placements, [&](const Placement& placement) {
    if (!placement.ended || !written.contains(placement.key())) return false;
    quota_.remove_ended(job.spec.team, job.spec.resources);
    return true;
  });
}

void PlacementTracker::end_all(Machine& machine, EndProof proof, double now) {
  const auto tasks = machine.tasks;  // a copy: ending a placement changes the list
  for (const PlacementRef& ref : tasks) {
    end(*ref.job, ref.placement(), proof, now);
    stop_gang(*ref.job, ref.attempt, now);
  }
}

void PlacementTracker::stop_gang(Job& job, std::uint64_t attempt, double now) {
  if (job.spec.kind != wire::JobKind::gang) return;
  for (Placement& placement : job.placements) {
    if (placement.attempt == attempt && !placement.ended) placement.request_stop(0, now);
  }
}

void PlacementTracker::attach_all(Job& job, double now) {
  for (Placement& placement : job.placements) {
    // Placed by a former leader; the record does not contain the time.
    if (placement.decided_at == 0) placement.decided_at = now;
    attach(job, placement);
  }
}

void PlacementTracker::detach_all(Job& job, double now) {
  for (const Placement& placement : job.placements) detach(job, placement, now);
}

void PlacementTracker::attach(Job& job, const Placement& placement) {
  if (placement.ended) return quota_.add_ended(job.spec.team, job.spec.resources);
  quota_.add(job.spec.team, job.spec.resources);
  machines_.attach({&job, placement.task, placement.attempt}, placement.machine);
}

void PlacementTracker::detach(Job& job, const Placement& placement, double now) {
  if (placement.ended) return quota_.remove_ended(job.spec.team, job.spec.resources);
  quota_.release(job.spec.team, job.spec.resources);
  machines_.detach({&job, placement.task, placement.attempt}, placement.machine, now);
}

}  // namespace cranklock::sched
