#include "sched/dependencies.hpp"

#include <algorithm>

namespace cranklock::sched {

void Dependencies::add(const std::string& job, const std::vector<std::string>& dependencies) {
  if (dependencies.empty() || !dependencies_.try_emplace(job, dependencies).second) return;
  for (const auto& dependency : dependencies) by_dependency_[dependency].dependents.insert(job);
}

void Dependencies::remove(const std::string& job) {
  const auto it = dependencies_.find(job);
  if (it == dependencies_.end()) return;
  for (const auto& dependency : it->second) {
    const auto entry = by_dependency_.find(dependency);
    if (entry == by_dependency_.end()) continue;
    entry->second.dependents.erase(job);
    if (entry->second.dependents.empty()) by_dependency_.erase(entry);
  }
  dependencies_.erase(it);
}

void Dependencies::note_ending(const std::string& dependency, const Ending& ending) {
  const auto it = by_dependency_.find(dependency);
  if (it == by_dependency_.end() || it->second.ending.outcome != Outcome::unknown) return;
  it->second.ending = ending;
}

bool Dependencies::met(const std::string& job) const {
  const auto& list = dependencies_of(job);
  return std::all_of(list.begin(), list.end(), [&](const std::string& dependency) {
    return by_dependency_.at(dependency).ending.outcome == Outcome::done;
  });
}

std::optional<Dependencies::Ending> Dependencies::cancellation(const std::string& job) const {
  for (const auto& dependency : dependencies_of(job)) {
    const Ending& ending = by_dependency_.at(dependency).ending;
    if (ending.outcome == Outcome::cancelled) return ending;
  }
  return std::nullopt;
}

std::int64_t Dependencies::met_ms(const std::string& job) const {
  std::int64_t latest = 0;
  for (const auto& dependency : dependencies_of(job)) {
    latest = std::max(latest, by_dependency_.at(dependency).ending.at_ms);
  }
  return latest;
}

const std::set<std::string>& Dependencies::dependents(const std::string& job) const {
  static const std::set<std::string> none;
  const auto it = by_dependency_.find(job);
  return it == by_dependency_.end() ? none : it->second.dependents;
}

const std::vector<std::string>& Dependencies::dependencies_of(const std::string& job) const {
  static const std::vector<std::string> none;
  const auto it = dependencies_.find(job);
  return it == dependencies_.end() ? none : it->second;
}

std::vector<std::string> Dependencies::unknown() const {
  std::vector<std::string> out;
  for (const auto& [id, dependency] : by_dependency_) {
    if (dependency.ending.outcome == Outcome::unknown) out.push_back(id);
  }
  return out;
}

}  // namespace cranklock::sched
