#include "defrag/move_budget.hpp"

#include <algorithm>
#include <iterator>

namespace cranklock::defrag {
std::size_t MoveBudget::max_at_once(std::size_t tasks) const {
  const auto share = static_cast<std::size_t>(settings_.share_at_once * static_cast<double>(tasks));
  return std::max<std::size_t>(share, 1);
}

std::size_t MoveBudget::left(const std::string& job, std::size_t tasks, double now) const {
  const std::size_t most = std::max(settings_.moves_per_job_and_hour, max_at_once(tasks));
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) return most;
  const auto& begun = known->second.begun;
  const auto lately = static_cast<std::size_t>(std::count_if(
      begun.begin(), begun.end(), [&](double time) { return time > now - kBudgetSpan; }));
  return most - std::min(lately, most);
}

bool MoveBudget::may_begin(const std::string& job, std::size_t tasks, double now) const {
  if (under_way_ >= at_once_) return false;
  const auto known = jobs_.find(job);
  if (known != jobs_.end() && known->second.under_way >= max_at_once(tasks)) return false;
  return left(job, tasks, now) > 0;
}

void MoveBudget::began(const std::string& job, double now) {
  forget_before(now - kBudgetSpan);
  JobMoves& moves = jobs_[job];
  moves.begun.push_back(now);
  ++moves.under_way;
  ++under_way_;
}

void MoveBudget::restore(const std::string& job, double begun) {
  auto& times = jobs_[job].begun;
  times.insert(std::upper_bound(times.begin(), times.end(), begun), begun);
}

void MoveBudget::resume(const std::string& job) {
  ++jobs_[job].under_way;
  ++under_way_;
}

void MoveBudget::ended(const std::string& job, double took_s) {
  const auto known = jobs_.find(job);
  if (known == jobs_.end() || known->second.under_way == 0) return;
  --known->second.under_way;
  --under_way_;
  const bool slow = took_s > settings_.slow_s;
  at_once_ =
      slow ? std::max<std::size_t>(at_once_ / 2, 1) : std::min(at_once_ + 1, settings_.max_at_once);
}

void MoveBudget::forget_before(double time) {
  for (auto entry = jobs_.begin(); entry != jobs_.end();) {
    auto& moves = entry->second;
    while (!moves.begun.empty() && moves.begun.front() <= time) moves.begun.pop_front();
    const bool over = moves.begun.empty() && moves.under_way == 0;
    entry = over ? jobs_.erase(entry) : std::next(entry);
  }
}

}  // namespace cranklock::defrag
