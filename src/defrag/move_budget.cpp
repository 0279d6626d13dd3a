#include "defrag/move_budget.hpp"

#include <algorithm>
#include <iterator>

namespace cranklock::defrag {
std::size_t MoveBudget::max_concurrent_moves_of_job(std::size_t tasks) const {
  const auto share =
      static_cast<std::size_t>(settings_.max_concurrent_share * static_cast<double>(tasks));
  return std::max<std::size_t>(share, 1);
}

std::size_t MoveBudget::remaining_moves(const std::string& job, std::size_t tasks,
                                        double now) const {
  const std::size_t max_moves =
      std::max(settings_.max_moves_per_job_per_hour, max_concurrent_moves_of_job(tasks));
  const auto entry = jobs_.find(job);
  if (entry == jobs_.end()) return max_moves;
  const auto& begin_times = entry->second.begin_times;
  const auto recent = static_cast<std::size_t>(
      std::count_if(begin_times.begin(), begin_times.end(),
                    [&](double time) { return time > now - kBudgetWindowS; }));
  return max_moves - std::min(recent, max_moves);
}

bool MoveBudget::may_begin(const std::string& job, std::size_t tasks, double now) const {
  if (active_moves_ >= concurrency_limit_) return false;
  const auto entry = jobs_.find(job);
  if (entry != jobs_.end() && entry->second.active_moves >= max_concurrent_moves_of_job(tasks))
    return false;
  return remaining_moves(job, tasks, now) > 0;
}

void MoveBudget::record_begin(const std::string& job, double now) {
  erase_before(now - kBudgetWindowS);
  JobMoves& moves = jobs_[job];
  moves.begin_times.push_back(now);
  ++moves.active_moves;
  ++active_moves_;
}

void MoveBudget::restore_past_move(const std::string& job, double begun_at) {
  auto& times = jobs_[job].begin_times;
  times.insert(std::upper_bound(times.begin(), times.end(), begun_at), begun_at);
}

void MoveBudget::restore_active_move(const std::string& job) {
  ++jobs_[job].active_moves;
  ++active_moves_;
}

void MoveBudget::record_end(const std::string& job, double took_s) {
  const auto entry = jobs_.find(job);
  if (entry == jobs_.end() || entry->second.active_moves == 0) return;
  --entry->second.active_moves;
  --active_moves_;
  const bool slow = took_s > settings_.slow_move_s;
  concurrency_limit_ = slow ? std::max<std::size_t>(concurrency_limit_ / 2, 1)
                            : std::min(concurrency_limit_ + 1, settings_.max_concurrent_moves);
}

void MoveBudget::erase_before(double time) {
  for (auto entry = jobs_.begin(); entry != jobs_.end();) {
    auto& moves = entry->second;
    while (!moves.begin_times.empty() && moves.begin_times.front() <= time)
      moves.begin_times.pop_front();
    const bool is_unused = moves.begin_times.empty() && moves.active_moves == 0;
    entry = is_unused ? jobs_.erase(entry) : std::next(entry);
  }
}

}  // namespace cranklock::defrag
