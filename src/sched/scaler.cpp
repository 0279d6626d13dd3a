#include "sched/scaler.hpp"

#include <algorithm>
#include <cmath>

namespace cranklock::sched {

int max_scale_out_step(const base::ScalerSettings& settings, int pool_machines) {
  const int share_of_pool = static_cast<int>(settings.max_scale_out_step_share * pool_machines);
  return std::max({settings.max_scale_out_step_machines, share_of_pool, 1});
}

void ScoreHistory::discard_before(double time) {
  while (!entries_.empty() && entries_.front().time < time) entries_.pop_front();
}

template <class Condition>
bool ScoreHistory::holds_throughout(double window_s, double now, Condition condition) const {
  constexpr double kTimeToleranceS = 1e-6;  // rounding of times
  for (auto entry = entries_.rbegin(); entry != entries_.rend(); ++entry) {
    if (!condition(entry->score)) return false;
    if (entry->time <= now - window_s + kTimeToleranceS) return true;
  }
  return false;
}

bool ScoreHistory::stayed_above(double threshold, double window_s, double now) const {
  return holds_throughout(window_s, now, [&](double score) { return score > threshold; });
}

bool ScoreHistory::stayed_below(double threshold, double window_s, double now) const {
  return holds_throughout(window_s, now, [&](double score) { return score < threshold; });
}

int Pool::decide(const PoolReading& reading, bool state_rebuilt, std::int64_t wall_ms, double now) {
  record(reading, now);
  if (!state_rebuilt) return 0;
  const double since_scaled_s = static_cast<double>(wall_ms - state.last_scaled_ms) / 1000.0;
  const bool unmet_demand = has_unmet_demand(now);
  if (reading.score > settings_.high_score || unmet_demand) {
    const bool window_high =
        unmet_demand ||
        scores_.stayed_above(settings_.high_score, settings_.scale_out_window_s, now);
    const bool cooled_down = since_scaled_s > settings_.scale_out_cooldown_s;
    return window_high && cooled_down ? scale_out_step(reading) : 0;
  }
  if (reading.score < settings_.low_score) {
    const bool window_low =
        scores_.stayed_below(settings_.low_score, settings_.scale_in_window_s, now);
    const bool cooled_down = since_scaled_s > settings_.scale_in_cooldown_s;
    return window_low && cooled_down ? -scale_in_step(reading) : 0;
  }
  return 0;
}

void Pool::record(const PoolReading& reading, double now) {
  const double longest_window_s =
      std::max(settings_.scale_out_window_s, settings_.scale_in_window_s);
  scores_.add(reading.score, now);
  scores_.discard_before(now - longest_window_s - settings_.interval_s);
  if (reading.wanted == 0) {
    wanted_since_.reset();
  } else if (!wanted_since_) {
    wanted_since_ = now;
  }
}

/// Whether tasks have needed new machines for a whole `scale_in_window_s`. This counts as a score
/// above `high_score`: free resources that the waiting tasks cannot use, e.g. in another zone,
/// would otherwise keep the score below that threshold forever.
bool Pool::has_unmet_demand(double now) const {
  return wanted_since_ && now - *wanted_since_ >= settings_.scale_in_window_s;
}

/// The number of machines to add: those needed by waiting tasks, or those that reduce the score to
/// `high_score`, whichever is more, capped by the step and pool limits. Machines that are already
/// booting are not requested again: both numbers are in addition to them.
int Pool::scale_out_step(const PoolReading& reading) const {
  const int max_step = max_scale_out_step(settings_, reading.machines);
  const int max_added = std::min(max_step, settings_.max_machines - reading.machines);
  return std::clamp(std::max(reading.wanted, reading.deficit), 0, std::max(max_added, 0));
}

/// The number of machines to remove: a fixed number or a share of the pool, whichever is larger,
/// but never so many that the pool falls below its minimum.
int Pool::scale_in_step(const PoolReading& reading) const {
  const int above_minimum = reading.machines - settings_.min_machines;
  const int share_of_pool =
      static_cast<int>(std::ceil(settings_.scale_in_step_share * reading.machines));
  return std::clamp(std::max(settings_.scale_in_step_machines, share_of_pool), 0,
                    std::max(above_minimum, 0));
}

void Pool::record_scaling(int target_machines, std::int64_t wall_ms) {
  state.target_machines = target_machines;
  state.last_scaled_ms = wall_ms;
}

}  // namespace cranklock::sched
