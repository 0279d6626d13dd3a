// When a team's missing share is asked for: at once when it has changed, then ever more rarely.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
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
    if (first) asked.since = now;
    const bool changed = first || !(asked.missing == missing);
    if (!changed && now < asked.next) return false;
    asked.missing = missing;
    asked.pause_s = changed ? shortest_s_ : std::min(2 * asked.pause_s, longest_s_);
    asked.next = now + asked.pause_s;
    ++asked.requests;
    return true;
  }
  /// A shortage that is being asked about.
  struct Shortage {
    double since = 0;
    int requests = 0;  ///< rounds of them
  };
  std::optional<Shortage> shortage(const std::string& team) const {
    const auto found = asked_.find(team);
    if (found == asked_.end()) return std::nullopt;
    return Shortage{found->second.since, found->second.requests};
  }

 private:
  struct Asked {
    Amounts missing;
    double since = 0, pause_s = 0, next = 0;
    int requests = 0;
  };
  double shortest_s_, longest_s_;
  std::map<std::string, Asked> asked_;
};

}  // namespace cranklock::regions
