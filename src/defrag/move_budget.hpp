// Limits on moves: per job and hour, concurrently per job, and concurrently over all jobs.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace cranklock::defrag {

/// Limits on how much moves may disrupt jobs.
struct MoveBudgetSettings {
  /// A job may also exceed this if `max_concurrent_share` of its tasks is more: it may then move
  /// that share of its tasks in an hour.
  std::size_t max_moves_per_job_per_hour = 4;
  /// The share of a job's tasks that may move concurrently, but at least one task.
  double max_concurrent_share = 0.25;
  std::size_t max_concurrent_moves = 32;
  /// A move that takes longer is slow and halves the limit on concurrent moves of all jobs.
  double slow_move_s = 30;
};

inline constexpr double kBudgetWindowS = 3600;  ///< how long a move counts against its job's budget

/// Prevents tasks from being moved repeatedly, and slow moves from occupying capacity on many
/// source and target machines at once.
///
/// A move counts against the budget of its job for an hour from its start, whether it succeeded or
/// not. The limit on concurrent moves of all jobs starts at one, grows by one with each move that
/// is not slow, up to `max_concurrent_moves`, and halves with each slow one, down to one.
class MoveBudget {
 public:
  explicit MoveBudget(const MoveBudgetSettings& settings) : settings_(settings) {}

  /// Whether a task of a job with `tasks` tasks may begin to move now.
  bool may_begin(const std::string& job, std::size_t tasks, double now) const;
  /// How many more tasks of a job with `tasks` tasks may move now, given its moves of the last
  /// hour.
  std::size_t remaining_moves(const std::string& job, std::size_t tasks, double now) const;
  void record_begin(const std::string& job, double now);
  void record_end(const std::string& job, double took_s);
  /// Restores a move that an earlier leader began, which counts for the rest of its hour.
  void restore_past_move(const std::string& job, double begun_at);
  /// Restores a move of an earlier leader that is still in progress.
  void restore_active_move(const std::string& job);

  std::size_t concurrency_limit() const { return concurrency_limit_; }
  std::size_t active_moves() const { return active_moves_; }

 private:
  struct JobMoves {
    std::deque<double> begin_times;  ///< within the last hour, oldest first
    std::size_t active_moves = 0;
  };
  void erase_before(double time);
  std::size_t max_concurrent_moves_of_job(std::size_t tasks) const;

  MoveBudgetSettings settings_;
  std::map<std::string, JobMoves> jobs_;
  std::size_t active_moves_ = 0;
  std::size_t concurrency_limit_ = 1;
};

}  // namespace cranklock::defrag
