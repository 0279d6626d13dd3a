// How long machines have lately taken to boot, by type and zone. Pure: no I/O, time passed in.
#pragma once

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cranklock::sched {

class BootTimes {
 public:
  /// Where machines boot alike.
  struct Place {
    std::string type, zone;
    auto operator<=>(const Place&) const = default;  // NOLINT(modernize-use-nullptr)
  };

  /// A machine was up so long after its scale-out request.
  void note_up(const Place& place, double seconds, double now);
  /// A machine is overdue: it may come late, or never.
  void note_overdue(const Place& place, double now);
  /// What a boot there should take now: the median of those lately seen, no less than what the
  /// cloud says (`ready_s`), and that where few were seen. Boots that were seen longer ago than
  /// some boots take are forgotten, so that a trouble's end is noticed though nothing was rented
  /// meanwhile. Overdue ones don't count: machines that never come, and are paid for until they are
  /// deleted, would be waited for ever longer.
  double expected(const Place& place, double ready_s, double now) const;
  /// By how much a machine there is worse than one whose boots are as the cloud says: it is waited
  /// for longer, and more machines are paid for than come.
  double penalty(const Place& place, double ready_s, double now) const;

 private:
  struct Boot {
    double at = 0;
    std::optional<double> seconds;  ///< none: it was overdue
  };
  /// Those lately seen.
  std::vector<Boot> lately(const Place& place, double ready_s, double now) const;
  /// The median of those that came, or what the cloud says.
  static double median(const std::vector<Boot>& boots, double ready_s);
  void note(const Place& place, Boot boot);

  std::map<Place, std::deque<Boot>> boots_;  ///< the last few of each, the oldest first
};

}  // namespace cranklock::sched
