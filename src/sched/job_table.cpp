#include "sched/job_table.hpp"

#include <algorithm>
#include <utility>

#include "sched/job_memory.hpp"

namespace cranklock::sched {

namespace {

/// Copies the runtime state of a placement that the stored record contains as well.
void carry_over_runtime_state(Placement& stored, const Placement& known) {
  stored = known;
  // An abandoned placement was never started, since its write was never known to be durable.
  stored.ended = known.ended || known.abandoned();
  stored.write = PlacementWrite::durable;
}

}  // namespace

void carry_over_runtime_state(Job& stored, Job& known) {
  stored.known_since = known.known_since;
  stored.retry = known.retry;
  // A cancellation is final, even if the record was read before the cancellation was written.
  if (known.cancelled()) {
    stored.cancelled_at_ms = known.cancelled_at_ms;
    stored.cancelled_since = known.cancelled_since;
  }
  // Guards against assigning an attempt number again, to another machine, after a write without a
  // response: if that write were applied late, the two placements could not be told apart
  // (invariant 12).
  stored.last_attempt = std::max(stored.last_attempt, known.last_attempt);
  const auto stored_done = stored.done.size();
  stored.done.merge(known.done);  // may not be written yet; a completed task stays completed
  stored.record.dirty = stored.done.size() != stored_done;
  // The stored record is authoritative for the set of placements.
  for (Placement& placement : stored.placements) {
    const Placement* known_placement = known.find(placement.task, placement.attempt);
    if (known_placement == nullptr || known_placement->machine != placement.machine) continue;
    carry_over_runtime_state(placement, *known_placement);
    stored.record.dirty = stored.record.dirty || placement.ended;
  }
}

Job& JobTable::put(Job job) {
  const std::string id = job.spec.id;
  if (const Job* known = find(id)) memory_bytes_ -= known->counted_bytes;
  job.counted_bytes = job_memory_bytes(job);
  memory_bytes_ += job.counted_bytes;
  Job& stored_job = jobs_.insert_or_assign(id, std::move(job)).first->second;
  dependencies_.add(id, stored_job.spec.dependencies);
  update_dependencies(stored_job);
  if (stored_job.cancelled()) cancel_dependents(stored_job);
  changes_.raise();
  return stored_job;
}

void JobTable::erase(const std::string& id) {
  dependencies_.remove(id);
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    memory_bytes_ -= found->second.counted_bytes;
    jobs_.erase(found);
  }
  changes_.raise();
}

Job* JobTable::find(const std::string& id) {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* JobTable::find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

void JobTable::update_dependencies(Job& job) {
  const std::string& id = job.spec.id;
  job.dependencies_met = dependencies_.met(id);
  job.ready_ms = std::max(job.created_ms, dependencies_.met_at_ms(id));
  if (job.cancelled()) return;
  if (const auto cancellation = dependencies_.cancellation(id)) {
    cancel(job, cancellation->at_ms, cancellation->since);
    return;
  }
  // Guards against missing the cancellation of a dependency that is still live: its outcome is not
  // recorded yet when the job is submitted.
  for (const std::string& dependency : dependencies_.dependencies_of(id)) {
    const Job* live = find(dependency);
    if (live == nullptr || !live->cancelled()) continue;
    cancel(job, live->cancelled_at_ms, live->cancelled_since);
    return;
  }
}

// Dependents have no tasks to stop, since none was allowed to start; only their records change.
// Iterative, since recursion could overflow the stack on long dependency chains.
void JobTable::cancel_dependents(const Job& cancelled) {
  std::vector<const Job*> to_visit{&cancelled};
  while (!to_visit.empty()) {
    const Job* dependency = to_visit.back();
    to_visit.pop_back();
    for (const std::string& id : dependencies_.dependents(dependency->spec.id)) {
      Job* dependent = find(id);
      if (dependent == nullptr || dependent->cancelled()) continue;
      dependent->cancelled_at_ms = dependency->cancelled_at_ms;
      dependent->cancelled_since = dependency->cancelled_since;
      changes_.raise();
      to_visit.push_back(dependent);
    }
  }
}

void JobTable::cancel(Job& job, std::int64_t at_ms, double since) {
  if (job.cancelled()) return;
  job.cancelled_at_ms = at_ms;
  job.cancelled_since = since;
  changes_.raise();
  cancel_dependents(job);
}

void JobTable::record_outcome(const std::string& id, const Dependencies::Outcome& outcome) {
  if (!dependencies_.has_dependents(id)) return;
  dependencies_.record_outcome(id, outcome);
  changes_.raise();
  const auto dependents = dependencies_.dependents(id);  // a copy: the updates may change the set
  for (const std::string& dependent : dependents) {
    if (Job* live = find(dependent)) update_dependencies(*live);
  }
}

std::vector<std::string> JobTable::unknown_outcomes() const {
  auto unknown = dependencies_.unresolved();
  std::erase_if(unknown, [this](const std::string& id) { return jobs_.contains(id); });
  return unknown;
}

}  // namespace cranklock::sched
