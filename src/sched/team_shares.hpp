// How much of the quota of teams may be used in this region.
#pragma once

#include "base/settings.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// What this region holds of the guarantees and limits of teams that several regions share
/// (invariant 16). Asked for every task that is placed, so answers must come from memory. A
/// resource without a limit, or guarantee, in the settings has none here either.
class TeamShares {
 public:
  TeamShares() = default;
  TeamShares(const TeamShares&) = delete;
  TeamShares& operator=(const TeamShares&) = delete;
  virtual ~TeamShares() = default;

  virtual wire::Resources guarantee(const base::Team& team) const = 0;
  virtual wire::Resources limit(const base::Team& team) const = 0;
};

/// The whole guarantee of the team, as the settings have it.
inline wire::Resources full_guarantee(const base::Team& team) {
  return {team.cpus, team.gpus, 0};
}
/// The whole limit of the team, as the settings have it; 0: no limit.
inline wire::Resources full_limit(const base::Team& team) {
  return {team.cpus_max, team.gpus_max, 0};
}

}  // namespace cranklock::sched
