#include "sched/boot_times.hpp"

#include <algorithm>
#include <cstddef>

namespace cranklock::sched {

namespace {
constexpr std::size_t kMaxBoots = 9;  ///< remembered of each place
constexpr std::size_t kMinBoots = 3;  ///< that prove anything; one may be late by chance
constexpr double kRemembered = 6;     ///< boots' lengths
}  // namespace

void BootTimes::note(const Place& place, Boot boot) {
  auto& boots = boots_[place];
  boots.push_back(boot);
  if (boots.size() > kMaxBoots) boots.pop_front();
}

void BootTimes::note_up(const Place& place, double seconds, double now) {
  note(place, {now, seconds});
}

void BootTimes::note_overdue(const Place& place, double now) {
  note(place, {now, std::nullopt});
}

std::vector<BootTimes::Boot> BootTimes::lately(const Place& place, double ready_s,
                                               double now) const {
  std::vector<Boot> out;
  const auto known = boots_.find(place);
  if (known == boots_.end()) return out;
  for (const Boot& boot : known->second) {
    const double length = std::max(ready_s, boot.seconds.value_or(ready_s));
    if (now - boot.at < kRemembered * length) out.push_back(boot);
  }
  return out;
}

double BootTimes::expected(const Place& place, double ready_s, double now) const {
  return median(lately(place, ready_s, now), ready_s);
}

double BootTimes::median(const std::vector<Boot>& boots, double ready_s) {
  std::vector<double> seconds;
  for (const Boot& boot : boots) {
    if (boot.seconds) seconds.push_back(*boot.seconds);
  }
  if (seconds.size() < kMinBoots) return ready_s;
  const auto middle = seconds.begin() + static_cast<std::ptrdiff_t>(seconds.size() / 2);
  std::nth_element(seconds.begin(), middle, seconds.end());
  return std::max(*middle, ready_s);
}

double BootTimes::penalty(const Place& place, double ready_s, double now) const {
  const auto boots = lately(place, ready_s, now);
  const auto overdue = static_cast<double>(std::count_if(
      boots.begin(), boots.end(), [](const Boot& boot) { return !boot.seconds.has_value(); }));
  const double up = static_cast<double>(boots.size()) - overdue;
  return median(boots, ready_s) / ready_s * (1 + overdue / (up + 1));
}

}  // namespace cranklock::sched
