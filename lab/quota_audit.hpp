// Checks at the end of a lab run that, for each team, the quotas of all regions and the transfers
// between them add up to the team's limits.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/region.hpp"

namespace cranklock::lab {

struct QuotaAudit {
  /// Number of teams whose quotas, including transfers in transit, differ from their limits.
  int teams_with_wrong_sums = 0;
  /// GPU quota by region, one value per team in the order of the settings.
  std::map<std::string, std::vector<double>> held_gpus;
};

/// Reads the regions' state services directly. A transfer counts as in transit until the receiving
/// region's state service has recorded it, so that none is missed.
QuotaAudit audit_quotas(const std::vector<std::unique_ptr<Region>>& regions,
                        const std::vector<base::Team>& teams);

}  // namespace cranklock::lab
