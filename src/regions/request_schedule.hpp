// When a team's missing share is asked for: at once when it has changed, then ever more rarely.
#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "regions/amounts.hpp"

namespace cranklock::regions {

/// Keeps 530 teams that wait for share nobody has from being spoken of all the time.
class RequestSchedule {
 public:
  /// `shortest_s`: from one request to the next while nothing changes; doubled each time up to
  /// `longest_s`.
  RequestSchedule(double shortest_s, double longest_s)
      : shortest_s_(shortest_s), longest_s_(longest_s) {}

  /// Whether to ask for this now; it is then taken as asked.
  bool take_due(const std::string& team, const Amounts& missing, double now) {
    if (missing.is_zero()) {
      asked_.erase(team);
      return false;
    }
    auto [entry, first] = asked_.try_emplace(team);
    Asked& asked = entry->second;
    if (first || !(asked.missing == missing)) {
      asked = {missing, shortest_s_, now + shortest_s_};
      return true;
    }
    if (now < asked.next) return false;
    asked.pause_s = std::min(2 * asked.pause_s, longest_s_);
    asked.next = now + asked.pause_s;
    return true;
  }
  /// Teams that no longer wait are forgotten.
  template <typename StillWaits>
  void forget_unless(StillWaits still_waits) {
    std::erase_if(asked_, [&](const auto& entry) { return !still_waits(entry.first); });
  }

 private:
  struct Asked {
    Amounts missing;
    double pause_s = 0, next = 0;
  };
  double shortest_s_, longest_s_;
  std::map<std::string, Asked> asked_;
};

}  // namespace cranklock::regions
