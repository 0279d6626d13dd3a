#include "sched/priority_inheritance.hpp"

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
  if (job.spec.deadline_s) {
    own.start_by_ms = job.created_ms + to_ms(*job.spec.deadline_s - job.spec.estimate_s);
  }
  return own;
}

/// Raises the urgency of a job to that required by one of its dependents.
void raise_urgency(Job& dependency, const Urgency& dependent) {
  Urgency& urgency = dependency.urgency;
  urgency.priority = std::min(urgency.priority, dependent.priority);
  if (dependent.start_by_ms == kNoDeadline) return;
  urgency.start_by_ms =
      std::min(urgency.start_by_ms, dependent.start_by_ms - to_ms(dependency.spec.estimate_s));
}

}  // namespace

void inherit_urgency(ClusterState& cluster) {
  for (auto& [id, job] : cluster.jobs()) job.urgency = own_urgency(job);
  const Dependencies& dependencies = cluster.dependencies();
  if (dependencies.empty()) return;
  // Topological order, dependents first: a job is visited after all its dependents. Clients can
  // name only accepted jobs as dependencies, so there are no cycles; the jobs of a stored cycle
  // would not be visited and would keep their own urgency.
  std::map<std::string, std::size_t> unvisited_dependents;  // number of dependents not visited yet
  std::deque<std::string> ready;
  for (const auto& [id, job] : cluster.jobs()) {
    const auto dependents = dependencies.dependents(id).size();
    if (dependents > 0) {
      unvisited_dependents[id] = dependents;
    } else if (!job.spec.dependencies.empty()) {
      ready.push_back(id);
    }
  }
  while (!ready.empty()) {
    const std::string id = std::move(ready.front());
    ready.pop_front();
    const Job& dependent = *cluster.job(id);
    for (const auto& dependency : dependencies.dependencies_of(id)) {
      const auto entry = unvisited_dependents.find(dependency);
      if (entry == unvisited_dependents.end()) continue;  // no longer live
      if (!dependent.cancelled()) raise_urgency(*cluster.job(dependency), dependent.urgency);
      if (--entry->second == 0) ready.push_back(dependency);
    }
  }
}

}  // namespace cranklock::sched
