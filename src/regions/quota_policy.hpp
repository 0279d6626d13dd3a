// How much quota a region requests, and how much another region grants. No I/O.
#pragma once

#include <cstdint>
#include <string>

#include "regions/quota_amounts.hpp"

namespace cranklock::regions {

/// Quota that a team uses and waits for in one region.
struct TeamDemand {
  /// By placements that are not known to have ended, including those whose write has no response.
  QuotaAmounts used;
  QuotaAmounts waiting;               ///< tasks placeable at once, given capacity and quota
  std::int64_t waiting_since_ms = 0;  ///< wall clock; of the oldest job with waiting tasks
};

/// Quota of the team that the region lacks for its waiting work; zero if no work waits. Never more
/// than the team's full guarantee and limit, and zero for resources that are not limited.
QuotaAmounts missing_quota(const QuotaAmounts& held, const TeamDemand& demand,
                           const QuotaAmounts& full);

/// Order in which regions get quota: the longer wait first, for equal waits by region name.
struct Claim {
  std::string region;
  std::int64_t waiting_since_ms = 0;
};

/// Quota that the region can give away: neither in use nor needed by its own waiting work. If both
/// regions lack quota, each could keep a part that is too small to use; therefore the region whose
/// work has waited longer takes precedence.
QuotaAmounts spare_quota(const QuotaAmounts& held, const TeamDemand& demand,
                         const QuotaAmounts& full, const Claim& own, const Claim& requesting);

/// Quota to grant: the requested amount, up to half of the spare quota rounded up to a whole CPU or
/// GPU, so that repeated requests end after a finite number.
QuotaAmounts granted_quota(const QuotaAmounts& spare, const QuotaAmounts& requested);

}  // namespace cranklock::regions
