// Checks, at the end of a lab run, that the regions' quotas and the transfers between them add up
// to the limits of each team.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/region.hpp"

namespace cranklock::lab {

struct QuotaAudit {
  /// Teams whose quotas, with what is on its way, differ from their limits.
  int teams_with_wrong_sums = 0;
  /// What each region holds of the teams' GPUs, by region, in the order of the teams.
  std::map<std::string, std::vector<double>> held_gpus;
};

/// Reads the regions' state services directly. No transfer is lost from sight: it is counted until
/// the receiving region's state service has it.
QuotaAudit audit_quotas(const std::vector<std::unique_ptr<Region>>& regions,
                        const std::vector<base::Team>& teams);

}  // namespace cranklock::lab
