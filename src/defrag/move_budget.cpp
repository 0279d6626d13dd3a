#include "defrag/move_budget.hpp"

#include <algorithm>
#include <iterator>

namespace cranklock::defrag {
namespace {
constexpr double kHour = 3600;
}

bool MoveBudget::may_begin(const std::string& job, std::size_t tasks, double now) const {
  if (under_way_ >= at_once_) return false;
  const auto known = jobs_.find(job);
  if (known == jobs_.end()) return settings_.moves_per_job_and_hour > 0;
  const JobMoves& moves = known->second;
  const auto share = static_cast<std::size_t>(settings_.share_at_once * static_cast<double>(tasks));
  if (moves.under_way >= std::max<std::size_t>(share, 1)) return false;
  const auto lately = std::count_if(moves.begun.begin(), moves.begun.end(),
                                    [&](double begun) { return begun > now - kHour; });
  return static_cast<std::size_t>(lately) < settings_.moves_per_job_and_hour;
}

void MoveBudget::began(const std::string& job, double now) {
  forget_before(now - kHour);
  JobMoves& moves = jobs_[job];
  moves.begun.push_back(now);
  ++moves.under_way;
  ++under_way_;
}

void MoveBudget::ended(const std::string& job, double took_s) {
  const auto known = jobs_.find(job);
  if (known == jobs_.end() || known->second.under_way == 0) return;
  --known->second.under_way;
  --under_way_;
  const bool slow = took_s > settings_.slow_s;
  at_once_ = slow ? std::max<std::size_t>(at_once_ / 2, 1)
                  : std::min(at_once_ + 1, settings_.most_at_once);
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
