// The share of team quotas that may be used in this region.
#pragma once

#include "base/settings.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// This region's share of team guarantees and limits that several regions share (invariant 16).
/// Called for every task that is placed, so implementations must return values held in memory. A
/// resource without a limit or guarantee in the settings has none here either.
class TeamShares {
 public:
  TeamShares() = default;
  TeamShares(const TeamShares&) = delete;
  TeamShares& operator=(const TeamShares&) = delete;
  virtual ~TeamShares() = default;

  virtual wire::Resources guarantee(const base::Team& team) const = 0;
  virtual wire::Resources limit(const base::Team& team) const = 0;
};

/// The full guarantee of the team, as set in the settings.
inline wire::Resources full_guarantee(const base::Team& team) {
  return {team.cpus, team.gpus, 0};
}
/// The full limit of the team, as set in the settings; 0: no limit.
inline wire::Resources full_limit(const base::Team& team) {
  return {team.cpus_max, team.gpus_max, 0};
}

}  // namespace cranklock::sched
