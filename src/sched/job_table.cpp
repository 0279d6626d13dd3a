#include "sched/job_table.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::sched {

namespace {

/// Keeps what is known of a placement that the record names as well.
void keep_learnt_state(Placement& stored, const Placement& known) {
  stored = known;
  // An abandoned placement was never started, as its record had not been known to be written.
  stored.ended = known.ended || known.abandoned();
  stored.write = PlacementWrite::durable;
}

}  // namespace

void keep_learnt_state(Job& stored, Job& known) {
  stored.known_since = known.known_since;
  stored.retry = known.retry;
  // A cancellation is final, even if the record was read from before it.
  if (known.cancelled()) {
    stored.cancelled_at_ms = known.cancelled_at_ms;
    stored.cancelled_since = known.cancelled_since;
  }
  // Guards against an attempt that is given once to one machine and, after an unanswered write, to
  // another: carried out late, that write would make the two look like one placement
  // (invariant 12).
  stored.last_attempt = std::max(stored.last_attempt, known.last_attempt);
  const auto stored_done = stored.done.size();
  stored.done.merge(known.done);  // perhaps not written yet; a done task stays done
  stored.record.dirty = stored.done.size() != stored_done;
  // The record decides which placements there are.
  for (Placement& placement : stored.placements) {
    const Placement* learnt = known.find(placement.task, placement.attempt);
    if (learnt == nullptr || learnt->machine != placement.machine) continue;
    keep_learnt_state(placement, *learnt);
    stored.record.dirty = stored.record.dirty || placement.ended;
  }
}

Job& JobTable::put(Job job) {
  const std::string id = job.spec.id;
  Job& held = jobs_.insert_or_assign(id, std::move(job)).first->second;
  dependencies_.add(id, held.spec.dependencies);
  update_dependencies(held);
  if (held.cancelled()) cancel_dependents(held);
  changes_.raise();
  return held;
}

void JobTable::erase(const std::string& id) {
  dependencies_.remove(id);
  jobs_.erase(id);
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
  // Guards against a job that arrives when one that it needs is cancelled and still live.
  for (const std::string& dependency : dependencies_.dependencies_of(id)) {
    const Job* live = find(dependency);
    if (live == nullptr || !live->cancelled()) continue;
    cancel(job, live->cancelled_at_ms, live->cancelled_since);
    return;
  }
}

// No dependent has a task, as none was allowed to start: only their records have to follow. Guards
// against a stack overflow by long chains: goes from one job to the next without recursion.
void JobTable::cancel_dependents(const Job& cancelled) {
  std::vector<const Job*> next{&cancelled};
  while (!next.empty()) {
    const Job* dependency = next.back();
    next.pop_back();
    for (const std::string& id : dependencies_.dependents(dependency->spec.id)) {
      Job* dependent = find(id);
      if (dependent == nullptr || dependent->cancelled()) continue;
      dependent->cancelled_at_ms = dependency->cancelled_at_ms;
      dependent->cancelled_since = dependency->cancelled_since;
      changes_.raise();
      next.push_back(dependent);
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
  const auto dependents = dependencies_.dependents(id);  // a copy: what follows may change it
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
