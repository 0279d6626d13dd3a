#include "sched/boot_times.hpp"

#include <algorithm>
#include <cstddef>

namespace cranklock::sched {

namespace {
constexpr std::size_t kMaxBootsPerLocation = 9;
constexpr std::size_t kMinBootsForMedian = 3;  ///< a single boot may be late by chance
/// A boot is recent for this multiple of its own duration or of `ready_s`, whichever is longer; an
/// overdue boot for this multiple of `ready_s`.
constexpr double kRecentBootDurations = 6;
}  // namespace

void BootTimes::record(const Location& location, Boot boot) {
  auto& boots = boots_[location];
  boots.push_back(boot);
  if (boots.size() > kMaxBootsPerLocation) boots.pop_front();
}

void BootTimes::record_boot(const Location& location, double duration_s, double now) {
  record(location, {now, duration_s});
}

void BootTimes::record_overdue(const Location& location, double now) {
  record(location, {now, std::nullopt});
}

std::vector<BootTimes::Boot> BootTimes::recent(const Location& location, double ready_s,
                                               double now) const {
  std::vector<Boot> boots;
  const auto found = boots_.find(location);
  if (found == boots_.end()) return boots;
  for (const Boot& boot : found->second) {
    const double duration_s = std::max(ready_s, boot.duration_s.value_or(ready_s));
    if (now - boot.recorded_at < kRecentBootDurations * duration_s) boots.push_back(boot);
  }
  return boots;
}

double BootTimes::expected_s(const Location& location, double ready_s, double now) const {
  return median_s(recent(location, ready_s, now), ready_s);
}

double BootTimes::median_s(const std::vector<Boot>& boots, double ready_s) {
  std::vector<double> durations;
  for (const Boot& boot : boots) {
    if (boot.duration_s) durations.push_back(*boot.duration_s);
  }
  if (durations.size() < kMinBootsForMedian) return ready_s;
  const auto middle = durations.begin() + static_cast<std::ptrdiff_t>(durations.size() / 2);
  std::nth_element(durations.begin(), middle, durations.end());
  return std::max(*middle, ready_s);
}

double BootTimes::penalty(const Location& location, double ready_s, double now) const {
  const auto boots = recent(location, ready_s, now);
  const auto overdue = static_cast<double>(std::count_if(
      boots.begin(), boots.end(), [](const Boot& boot) { return !boot.duration_s.has_value(); }));
  const double completed = static_cast<double>(boots.size()) - overdue;
  return median_s(boots, ready_s) / ready_s * (1 + overdue / (completed + 1));
}

}  // namespace cranklock::sched
