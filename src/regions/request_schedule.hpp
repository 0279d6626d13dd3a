// When a team's missing quota is requested: at once when it has changed, then with growing pauses.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

/// Exponential back-off of requests by team: with hundreds of teams that wait for quota nobody has
/// left, requests would otherwise fill the links between regions.
class RequestSchedule {
 public:
  /// `shortest_s`: from one request to the next while nothing changes; doubled each time up to
  /// `longest_s`.
  RequestSchedule(double shortest_s, double longest_s)
      : shortest_s_(shortest_s), longest_s_(longest_s) {}

  /// Whether to ask for this now; it is then taken as asked.
  bool take_due(const std::string& team, const QuotaAmounts& missing, double now) {
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
    QuotaAmounts missing;
    double since = 0, pause_s = 0, next = 0;
    int requests = 0;
  };
  double shortest_s_, longest_s_;
  std::map<std::string, Asked> asked_;
};

}  // namespace cranklock::regions
