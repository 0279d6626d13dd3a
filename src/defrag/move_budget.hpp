// How many moves there may be: of one job in an hour and at once, and of all jobs at once.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace cranklock::defrag {

/// A disruption budget.
struct MoveBudgetSettings {
  /// Of a job of few tasks; a larger one may move `share_at_once` of its tasks in an hour.
  std::size_t moves_per_job_and_hour = 4;
  /// Of a job's tasks, at most this share moves at once; a job of few tasks moves one.
  double share_at_once = 0.25;
  std::size_t max_at_once = 32;
  /// A move that takes longer speaks for fewer at once.
  double slow_s = 30;
};

inline constexpr double kBudgetSpan = 3600;  ///< seconds for which a move counts

/// Keeps moves from chasing one another, and from filling the fleet with copies when they are slow.
///
/// A move counts for its job from its beginning, for an hour, whether it ended well or not. The
/// number of moves at once grows by one with each that ended in time, and halves with each that was
/// slow.
class MoveBudget {
 public:
  explicit MoveBudget(const MoveBudgetSettings& settings) : settings_(settings) {}

  /// Whether one more task of a job of so many may begin to move at this time.
  bool may_begin(const std::string& job, std::size_t tasks, double now) const;
  /// How many more tasks of a job of so many may move within this hour.
  std::size_t left(const std::string& job, std::size_t tasks, double now) const;
  void began(const std::string& job, double now);
  void ended(const std::string& job, double took_s);
  /// A move that a former leader has begun, which counts for its hour.
  void restore(const std::string& job, double begun);
  /// One of those that has not ended yet.
  void resume(const std::string& job);

  std::size_t at_once() const { return at_once_; }
  std::size_t under_way() const { return under_way_; }

 private:
  struct JobMoves {
    std::deque<double> begun;  ///< within the last hour, oldest first
    std::size_t under_way = 0;
  };
  void forget_before(double time);
  std::size_t max_at_once(std::size_t tasks) const;

  MoveBudgetSettings settings_;
  std::map<std::string, JobMoves> jobs_;
  std::size_t under_way_ = 0;
  std::size_t at_once_ = 1;
};

}  // namespace cranklock::defrag
