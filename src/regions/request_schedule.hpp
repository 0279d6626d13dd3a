// When a team's missing quota is requested: at once when the amount changes, then with backoff.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

/// Exponential backoff of requests, by team. Without it, requests of hundreds of teams that wait
/// for quota that no region has left would fill the links between regions.
class RequestSchedule {
 public:
  /// `min_interval_s`: time to the second request while the amount is unchanged; doubled after each
  /// request, up to `max_interval_s`.
  RequestSchedule(double min_interval_s, double max_interval_s)
      : min_interval_s_(min_interval_s), max_interval_s_(max_interval_s) {}

  /// Whether to send a request now; if so, it is recorded as sent. If nothing is missing, the
  /// team's shortage is over and its backoff is forgotten.
  bool take_due(const std::string& team, const QuotaAmounts& missing, double now) {
    if (missing.is_zero()) {
      requested_.erase(team);
      return false;
    }
    auto [entry, first] = requested_.try_emplace(team);
    RequestState& state = entry->second;
    if (first) state.started_at = now;
    const bool changed = first || !(state.missing == missing);
    if (!changed && now < state.next_request_at) return false;
    state.missing = missing;
    state.interval_s = changed ? min_interval_s_ : std::min(2 * state.interval_s, max_interval_s_);
    state.next_request_at = now + state.interval_s;
    ++state.requests;
    return true;
  }
  /// A shortage for which requests have been sent.
  struct Shortage {
    double started_at = 0;
    int requests = 0;  ///< rounds of requests to the reachable regions
  };
  std::optional<Shortage> shortage(const std::string& team) const {
    const auto found = requested_.find(team);
    if (found == requested_.end()) return std::nullopt;
    return Shortage{found->second.started_at, found->second.requests};
  }

 private:
  struct RequestState {
    QuotaAmounts missing;
    double started_at = 0, interval_s = 0, next_request_at = 0;
    int requests = 0;
  };
  double min_interval_s_, max_interval_s_;
  std::map<std::string, RequestState> requested_;
};

}  // namespace cranklock::regions
