#include "sched/inheritance.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>

namespace cranklock::sched {
namespace {

std::int64_t to_ms(double seconds) {
  return std::llround(seconds * 1000);
}

Urgency own_urgency(const Job& job) {
  Urgency own;
  own.priority = job.spec.priority;
  if (job.spec.due_s) {
    own.start_by_ms = job.created_ms + to_ms(*job.spec.due_s - job.spec.estimate_s);
  }
  return own;
}

void raise(Job& needed, const Urgency& needed_by) {
  Urgency& urgency = needed.urgency;
  urgency.priority = std::min(urgency.priority, needed_by.priority);
  if (needed_by.start_by_ms == kNoDeadline) return;
  urgency.start_by_ms =
      std::min(urgency.start_by_ms, needed_by.start_by_ms - to_ms(needed.spec.estimate_s));
}

}  // namespace

void inherit_urgency(ClusterState& cluster) {
  for (auto& [id, job] : cluster.jobs()) job.urgency = own_urgency(job);
  const Dependencies& dependencies = cluster.dependencies();
  if (dependencies.empty()) return;
  // From the last jobs of each pipeline to the first, each when all that need it have had their
  // turn. Users can name only accepted jobs, so there is no cycle; the jobs of a stored one have no
  // turn and keep their own urgency.
  std::map<std::string, std::size_t> waiting_for;  // dependents that have not had their turn
  std::deque<std::string> ready;
  for (const auto& [id, job] : cluster.jobs()) {
    const auto dependents = dependencies.dependents(id).size();
    if (dependents > 0) {
      waiting_for[id] = dependents;
    } else if (!job.spec.needs.empty()) {
      ready.push_back(id);
    }
  }
  while (!ready.empty()) {
    const std::string id = std::move(ready.front());
    ready.pop_front();
    const Job& dependent = *cluster.job(id);
    for (const auto& needed : dependencies.needs(id)) {
      const auto entry = waiting_for.find(needed);
      if (entry == waiting_for.end()) continue;  // over
      if (!dependent.cancelled()) raise(*cluster.job(needed), dependent.urgency);
      if (--entry->second == 0) ready.push_back(needed);
    }
  }
}

}  // namespace cranklock::sched
