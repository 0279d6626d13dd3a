// What teams use of their quota, and how much of it they may use in this region.
#pragma once

#include <map>
#include <string>

#include "base/settings.hpp"
#include "sched/team_shares.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// Adds up the resources of all placements that are not proven gone, by team (invariant 9), and
/// answers what a team is guaranteed and limited to.
class QuotaUsage {
 public:
  void add(const std::string& team, const wire::Resources& resources);
  void release(const std::string& team, const wire::Resources& resources);
  const wire::Resources& allocated(const std::string& team) const;

  /// What teams may use here when regions share their quota (invariant 16); nullptr: all that the
  /// settings say. Must live as long as this object.
  void set_shares(const TeamShares* shares) { shares_ = shares; }
  wire::Resources guarantee(const base::Team& team) const;
  wire::Resources limit(const base::Team& team) const;

 private:
  std::map<std::string, wire::Resources> allocated_;
  const TeamShares* shares_ = nullptr;
};

}  // namespace cranklock::sched
