// The rule by which share moves: what a region asks for, and what another gives. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "regions/amounts.hpp"

namespace cranklock::regions {

/// What a team's work takes and waits for in one region.
struct TeamDemand {
  Amounts used;     ///< placements not proven free, and those that an unanswered write names
  Amounts waiting;  ///< tasks that could be placed at once if there were room and share
  std::int64_t waiting_since_ms = 0;  ///< time of day; of the oldest job with waiting tasks
};

/// What the region lacks of the team's share for the work that waits there; nothing when none
/// waits. A guarantee is wanted no further than the whole team has one, and a resource that is not
/// looked at is not wanted.
Amounts missing_share(const Amounts& held, const TeamDemand& demand, const Amounts& whole);

/// Who asks: the region's name decides between work that has waited equally long.
struct Claim {
  std::string region;
  std::int64_t waiting_since_ms = 0;
};

/// What the region could give away: what is neither in use nor wanted by its own waiting work.
/// Two regions that both lack share would hold on to pieces that are of use to neither, so then
/// the work that has waited longer goes first.
Amounts spare_share(const Amounts& held, const TeamDemand& demand, const Amounts& whole,
                    const Claim& own, const Claim& asking);

/// What of the spare share is given: what is asked, up to half of the spare rounded up to a whole
/// CPU or GPU, so that repeated requests come to an end.
Amounts granted_share(const Amounts& spare, const Amounts& asked);

}  // namespace cranklock::regions
