#include "sched/dependencies.hpp"

#include <algorithm>

namespace cranklock::sched {

void Dependencies::add(const std::string& job, const std::vector<std::string>& needs) {
  if (needs.empty() || !needs_.try_emplace(job, needs).second) return;
  for (const auto& needed : needs) needed_[needed].dependents.insert(job);
}

void Dependencies::remove(const std::string& job) {
  const auto it = needs_.find(job);
  if (it == needs_.end()) return;
  for (const auto& needed : it->second) {
    const auto entry = needed_.find(needed);
    if (entry == needed_.end()) continue;
    entry->second.dependents.erase(job);
    if (entry->second.dependents.empty()) needed_.erase(entry);
  }
  needs_.erase(it);
}

void Dependencies::note_ending(const std::string& needed, const Ending& ending) {
  const auto it = needed_.find(needed);
  if (it == needed_.end() || it->second.ending.outcome != Outcome::unknown) return;
  it->second.ending = ending;
}

bool Dependencies::met(const std::string& job) const {
  const auto& list = needs(job);
  return std::all_of(list.begin(), list.end(), [&](const std::string& needed) {
    return needed_.at(needed).ending.outcome == Outcome::done;
  });
}

std::optional<Dependencies::Ending> Dependencies::cancellation(const std::string& job) const {
  for (const auto& needed : needs(job)) {
    const Ending& ending = needed_.at(needed).ending;
    if (ending.outcome == Outcome::cancelled) return ending;
  }
  return std::nullopt;
}

std::int64_t Dependencies::met_ms(const std::string& job) const {
  std::int64_t latest = 0;
  for (const auto& needed : needs(job)) {
    latest = std::max(latest, needed_.at(needed).ending.at_ms);
  }
  return latest;
}

const std::set<std::string>& Dependencies::dependents(const std::string& job) const {
  static const std::set<std::string> none;
  const auto it = needed_.find(job);
  return it == needed_.end() ? none : it->second.dependents;
}

const std::vector<std::string>& Dependencies::needs(const std::string& job) const {
  static const std::vector<std::string> none;
  const auto it = needs_.find(job);
  return it == needs_.end() ? none : it->second;
}

std::vector<std::string> Dependencies::unknown() const {
  std::vector<std::string> out;
  for (const auto& [id, needed] : needed_) {
    if (needed.ending.outcome == Outcome::unknown) out.push_back(id);
  }
  return out;
}

}  // namespace cranklock::sched
