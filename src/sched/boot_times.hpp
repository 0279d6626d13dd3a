// How long machines have lately taken to boot, by type and zone.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranklock::sched {

/// Remembers the last few boots of each machine type in each zone. All durations are seconds;
/// `ready_s` is the boot time that the cloud states for the type.
class BootTimes {
 public:
  /// A machine type in a zone: boots are compared within it.
  struct Location {
    std::string type, zone;
    auto operator<=>(const Location&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  /// A machine reported for the first time, this long after its scale-out request.
  void record_boot(const Location& location, double duration_s, double now);
  /// A machine is overdue: it may come late, or never.
  void record_overdue(const Location& location, double now);
  /// How long a boot should take now: the median of recent boots, but not less than `ready_s`;
  /// `ready_s` if there were too few. Boots are recent for a few boot times, so that the end of a
  /// disturbance is noticed even when nothing has been scaled out since. Overdue machines don't
  /// count: ones that never come are paid for until they are deleted, and would be waited for
  /// longer and longer.
  double expected_s(const Location& location, double ready_s, double now) const;
  /// How much worse a machine is there than one that boots as the cloud states (1): it is waited
  /// for longer, and more machines are paid for than come.
  double penalty(const Location& location, double ready_s, double now) const;

 private:
  struct Boot {
    double recorded_at = 0;
    std::optional<double> duration_s;  ///< none: it was overdue
  };
  std::vector<Boot> recent(const Location& location, double ready_s, double now) const;
  /// The median duration of those that came; `ready_s` if these are too few.
  static double median_s(const std::vector<Boot>& boots, double ready_s);
  void record(const Location& location, Boot boot);

  std::map<Location, std::deque<Boot>> boots_;  ///< the last few of each, oldest first
};

}  // namespace cranklock::sched
