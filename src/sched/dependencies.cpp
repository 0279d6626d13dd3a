#include "sched/dependencies.hpp"

#include <algorithm>

namespace cranklock::sched {

void Dependencies::add(const std::string& job, const std::vector<std::string>& dependencies) {
  if (dependencies.empty() || !dependencies_.try_emplace(job, dependencies).second) return;
  for (const auto& dependency : dependencies) by_dependency_[dependency].dependents.insert(job);
}

void Dependencies::remove(const std::string& job) {
  const auto found = dependencies_.find(job);
  if (found == dependencies_.end()) return;
  for (const auto& dependency : found->second) {
    const auto entry = by_dependency_.find(dependency);
    if (entry == by_dependency_.end()) continue;
    entry->second.dependents.erase(job);
    if (entry->second.dependents.empty()) by_dependency_.erase(entry);
  }
  dependencies_.erase(found);
}

void Dependencies::record_outcome(const std::string& dependency, const Outcome& outcome) {
  const auto found = by_dependency_.find(dependency);
  if (found == by_dependency_.end()) return;
  Outcome& known = found->second.outcome;
  if (known.resolution == Resolution::unknown) known = outcome;
}

bool Dependencies::met(const std::string& job) const {
  const auto& list = dependencies_of(job);
  return std::all_of(list.begin(), list.end(), [&](const std::string& dependency) {
    return by_dependency_.at(dependency).outcome.resolution == Resolution::done;
  });
}

std::optional<Dependencies::Outcome> Dependencies::cancellation(const std::string& job) const {
  for (const auto& dependency : dependencies_of(job)) {
    const Outcome& outcome = by_dependency_.at(dependency).outcome;
    if (outcome.resolution == Resolution::cancelled) return outcome;
  }
  return std::nullopt;
}

std::int64_t Dependencies::met_at_ms(const std::string& job) const {
  std::int64_t latest = 0;
  for (const auto& dependency : dependencies_of(job)) {
    latest = std::max(latest, by_dependency_.at(dependency).outcome.at_ms);
  }
  return latest;
}

const std::set<std::string>& Dependencies::dependents(const std::string& job) const {
  static const std::set<std::string> none;
  const auto found = by_dependency_.find(job);
  return found == by_dependency_.end() ? none : found->second.dependents;
}

const std::vector<std::string>& Dependencies::dependencies_of(const std::string& job) const {
  static const std::vector<std::string> none;
  const auto found = dependencies_.find(job);
  return found == dependencies_.end() ? none : found->second;
}

std::vector<std::string> Dependencies::unresolved() const {
  std::vector<std::string> unresolved_jobs;
  for (const auto& [id, dependency] : by_dependency_) {
    if (dependency.outcome.resolution == Resolution::unknown) unresolved_jobs.push_back(id);
  }
  return unresolved_jobs;
}

}  // namespace cranklock::sched
