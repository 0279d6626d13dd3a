#include "lab/quota_audit.hpp"

#include "regions/quota_amounts.hpp"
#include "regions/records.hpp"

namespace cranklock::lab {
namespace {

/// The team's quota in transfers sent from one region and not yet recorded by the other.
regions::QuotaAmounts in_transit(Region& from, Region& to, const std::string& team) {
  regions::QuotaAmounts sum;
  const auto& received = to.state().values;
  const auto counter = received.find(regions::received_key(from.plan().name));
  const auto last_received =
      counter == received.end() ? 0 : regions::read_counter(counter->second.data).value_or(0);
  const auto& sent = from.state().values;
  const std::string prefix = regions::kOutPrefix + to.plan().name + "/";
  for (auto it = sent.lower_bound(prefix); it != sent.end(); ++it) {
    if (!it->first.starts_with(prefix)) break;
    const auto transfer = regions::read_transfer(it->second.data);
    if (transfer && transfer->team == team && transfer->sequence > last_received) {
      sum += transfer->quota;
    }
  }
  return sum;
}

/// The team's quota in the region's state service; zero if there is no readable record.
regions::QuotaAmounts recorded_quota(Region& region, const std::string& team) {
  const auto& values = region.state().values;
  const auto stored = values.find(regions::quota_key(team));
  if (stored == values.end()) return {};
  return regions::read_quota(stored->second.data).value_or(regions::QuotaAmounts{});
}

}  // namespace

QuotaAudit audit_quotas(const std::vector<std::unique_ptr<Region>>& regions,
                        const std::vector<base::Team>& teams) {
  QuotaAudit audit;
  for (const auto& team : teams) {
    regions::QuotaAmounts sum;
    for (const auto& region : regions) {
      const auto held = recorded_quota(*region, team.name);
      sum += held;
      for (const auto& from : regions) sum += in_transit(*from, *region, team.name);
      audit.held_gpus[region->plan().name].push_back(
          static_cast<double>(held[regions::Resource::gpus]) /
          regions::QuotaAmounts::kThousandthsPerUnit);
    }
    audit.teams_with_wrong_sums += sum == regions::full_quota(team) ? 0 : 1;
  }
  return audit;
}

}  // namespace cranklock::lab
