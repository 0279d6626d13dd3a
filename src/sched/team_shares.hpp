// What of teams' guarantees and limits may be used here, where that is not all of them.
#pragma once

#include "base/settings.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// Asked by placement for every task, so answers come from memory. A resource for which the
/// settings give the team no limit, or no guarantee, has none here either.
class TeamShares {
 public:
  TeamShares() = default;
  TeamShares(const TeamShares&) = delete;
  TeamShares& operator=(const TeamShares&) = delete;
  virtual ~TeamShares() = default;

  virtual wire::Resources guarantee(const base::Team& team) const = 0;
  virtual wire::Resources limit(const base::Team& team) const = 0;
};

/// The team's whole guarantee or limit, as the settings have it.
inline wire::Resources full_guarantee(const base::Team& team) {
  return {team.cpus, team.gpus, 0};
}
inline wire::Resources full_limit(const base::Team& team) {
  return {team.cpus_max, team.gpus_max, 0};
}

}  // namespace cranklock::sched
