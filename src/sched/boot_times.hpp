// Recent boot times of machines, by type and zone.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranklock::sched {

/// Keeps the most recent boots of each machine type in each zone. All durations are seconds;
/// `ready_s` is the boot time that the cloud states for the type.
class BootTimes {
 public:
  /// A machine type in a zone. Boots are compared only within one location.
  struct Location {
    std::string type, zone;
    auto operator<=>(const Location&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  /// Records a boot: the machine first reported `duration_s` after its scale-out request.
  void record_boot(const Location& location, double duration_s, double now);
  /// Records an overdue machine: it may report late or never.
  void record_overdue(const Location& location, double now);
  /// The expected boot time: the median of recent boots, but at least `ready_s`; `ready_s` if there
  /// were too few. A boot counts as recent for a few times its own duration, so the estimate
  /// recovers after a disturbance even without a scale-out since. Overdue machines are left out: a
  /// machine that never reports is paid for until it is deleted, and counting it would raise the
  /// expected time and thereby delay the deletion further and further.
  double expected_s(const Location& location, double ready_s, double now) const;
  /// Relative cost of a machine at the location, 1 if boots take as long as the cloud states. Rises
  /// with the boot time and with the number of overdue machines, which are paid for although they
  /// are not ready, per completed boot.
  double penalty(const Location& location, double ready_s, double now) const;

 private:
  struct Boot {
    double recorded_at = 0;
    std::optional<double> duration_s;  ///< nullopt: the machine was overdue
  };
  std::vector<Boot> recent(const Location& location, double ready_s, double now) const;
  /// The median duration of completed boots; `ready_s` if there are too few.
  static double median_s(const std::vector<Boot>& boots, double ready_s);
  void record(const Location& location, Boot boot);

  std::map<Location, std::deque<Boot>> boots_;  ///< the most recent of each, oldest first
};

}  // namespace cranklock::sched
