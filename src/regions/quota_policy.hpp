// How much quota a region requests, and how much another grants. Pure.
#pragma once

#include <cstdint>
#include <string>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

/// What a team's work uses and waits for in one region.
struct TeamDemand {
  QuotaAmounts used;     ///< placements not proven free, and those that an unanswered write names
  QuotaAmounts waiting;  ///< tasks that could be placed at once if there were room and quota
  std::int64_t waiting_since_ms = 0;  ///< time of day; of the oldest job with waiting tasks
};

/// What the region lacks of the team's quota for the work that waits there; nothing when none
/// waits. A guarantee is wanted no further than the whole team has one, and a resource that is not
/// looked at is not wanted.
QuotaAmounts missing_quota(const QuotaAmounts& held, const TeamDemand& demand,
                           const QuotaAmounts& full);

/// Who asks: the region's name decides between work that has waited equally long.
struct Claim {
  std::string region;
  std::int64_t waiting_since_ms = 0;
};

/// What the region could give away: what is neither in use nor wanted by its own waiting work.
/// Two regions that both lack quota would hold on to pieces that are of use to neither, so then
/// the work that has waited longer goes first.
QuotaAmounts spare_quota(const QuotaAmounts& held, const TeamDemand& demand,
                         const QuotaAmounts& full, const Claim& own, const Claim& asking);

/// How much of the spare quota is granted: what is asked, up to half of the spare rounded up to a
/// whole CPU or GPU, so that repeated requests come to an end.
QuotaAmounts granted_quota(const QuotaAmounts& spare, const QuotaAmounts& asked);

}  // namespace cranklock::regions
