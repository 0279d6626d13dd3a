#include "regions/quota_policy.hpp"

#include <tuple>
#include <utility>

namespace cranklock::regions {
namespace {

/// Clears resources that the team's settings do not limit.
QuotaAmounts limited_resources_only(const QuotaAmounts& quota, const QuotaAmounts& full) {
  return QuotaAmounts::combine(
      quota, full, [](auto amount, auto limit) { return limit > 0 ? amount : std::int64_t{0}; });
}

bool precedes(const Claim& claim, const Claim& other) {
  return std::tie(claim.waiting_since_ms, claim.region) <
         std::tie(other.waiting_since_ms, other.region);
}

}  // namespace

QuotaAmounts missing_quota(const QuotaAmounts& held, const TeamDemand& demand,
                           const QuotaAmounts& full) {
  if (demand.waiting.is_zero()) return {};
  const QuotaAmounts wanted = QuotaAmounts::min_of(demand.used + demand.waiting, full);
  return limited_resources_only((wanted - held).at_least_zero(), full);
}

QuotaAmounts spare_quota(const QuotaAmounts& held, const TeamDemand& demand,
                         const QuotaAmounts& full, const Claim& own, const Claim& requesting) {
  const QuotaAmounts unused = (held - demand.used).at_least_zero();
  const QuotaAmounts beyond_own = (unused - demand.waiting).at_least_zero();
  if (!precedes(requesting, own)) return beyond_own;
  // Work that lacks CPUs or GPUs can't run, however much of the other resource it holds, so both
  // are given up. A missing guarantee does not prevent work from running.
  const QuotaAmounts missing = missing_quota(held, demand, full);
  const auto lacks_either = [&](Resource one, Resource other) {
    return missing[one] > 0 || missing[other] > 0;
  };
  QuotaAmounts spare = beyond_own;
  for (const auto& [one, other] :
       {std::pair(Resource::cpus, Resource::gpus),
        std::pair(Resource::guaranteed_cpus, Resource::guaranteed_gpus)}) {
    if (!lacks_either(one, other)) continue;
    spare[one] = unused[one];
    spare[other] = unused[other];
  }
  return spare;
}

QuotaAmounts granted_quota(const QuotaAmounts& spare, const QuotaAmounts& requested) {
  const QuotaAmounts half = QuotaAmounts::combine(spare, spare, [](auto amount, auto) {
    const auto halved = (amount + 1) / 2;
    return std::min(amount, round_up_to_unit(halved));
  });
  return QuotaAmounts::min_of(half, requested);
}

}  // namespace cranklock::regions
