#include "regions/sharing_rule.hpp"

#include <tuple>
#include <utility>

namespace cranklock::regions {
namespace {

/// Only what the team's settings look at.
Amounts looked_at(const Amounts& amounts, const Amounts& whole) {
  return Amounts::combine(
      amounts, whole, [](auto amount, auto limit) { return limit > 0 ? amount : std::int64_t{0}; });
}

bool precedes(const Claim& claim, const Claim& other) {
  return std::tie(claim.waiting_since_ms, claim.region) <
         std::tie(other.waiting_since_ms, other.region);
}

}  // namespace

Amounts missing_share(const Amounts& held, const TeamDemand& demand, const Amounts& whole) {
  if (demand.waiting.is_zero()) return {};
  const Amounts wanted = Amounts::least(demand.used + demand.waiting, whole);
  return looked_at((wanted - held).at_least_zero(), whole);
}

Amounts spare_share(const Amounts& held, const TeamDemand& demand, const Amounts& whole,
                    const Claim& own, const Claim& asking) {
  const Amounts unused = (held - demand.used).at_least_zero();
  const Amounts beyond_own = (unused - demand.waiting).at_least_zero();
  if (!precedes(asking, own)) return beyond_own;
  // Work that lacks either resource can't run, whatever it holds of the other. A guarantee that is
  // missing keeps nothing from running.
  const Amounts missing = missing_share(held, demand, whole);
  const auto yields = [&](Resource one, Resource other) {
    return missing[one] > 0 || missing[other] > 0;
  };
  Amounts spare = beyond_own;
  for (const auto& [one, other] :
       {std::pair(Resource::cpus, Resource::gpus),
        std::pair(Resource::guaranteed_cpus, Resource::guaranteed_gpus)}) {
    if (!yields(one, other)) continue;
    spare[one] = unused[one];
    spare[other] = unused[other];
  }
  return spare;
}

Amounts granted_share(const Amounts& spare, const Amounts& asked) {
  const Amounts half = Amounts::combine(spare, spare, [](auto amount, auto) {
    const auto halved = (amount + 1) / 2;
    return std::min(amount, round_up_to_unit(halved));
  });
  return Amounts::least(half, asked);
}

}  // namespace cranklock::regions
