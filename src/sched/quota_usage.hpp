// Quota usage of teams, and their guarantees and limits in this region.
#pragma once

#include <map>
#include <string>

#include "base/settings.hpp"
#include "sched/team_shares.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// Sums, by team, the resources of all placements that are not proven gone, and of those that are
/// but may still be in a stored record (invariant 9). Provides the guarantee and limit of each
/// team.
class QuotaUsage {
 public:
  void add(const std::string& team, const wire::Resources& resources);
  void release(const std::string& team, const wire::Resources& resources);
  const wire::Resources& allocated(const std::string& team) const;

  /// Adds a placement that is proven gone while the stored record may still contain it.
  void add_ended(const std::string& team, const wire::Resources& resources);
  /// Removes such a placement once the stored record does not contain it.
  void remove_ended(const std::string& team, const wire::Resources& resources);
  const wire::Resources& ended(const std::string& team) const;

  /// Sets the region's share of the quotas when regions share them (invariant 16); nullptr: the
  /// full quotas of the settings apply. `shares` must outlive this object.
  void set_shares(const TeamShares* shares) { shares_ = shares; }
  wire::Resources guarantee(const base::Team& team) const;
  wire::Resources limit(const base::Team& team) const;
  /// Whether this sum of resources is within the team's limit.
  bool is_within_limit(const base::Team& team, const wire::Resources& sum) const;
  /// Whether the allocation exceeds the limit. This leader never adds a placement beyond the limit,
  /// but the records of a former leader may contain more: one of an earlier version, or one whose
  /// settings had a higher limit.
  bool exceeds_limit(const base::Team& team) const;

 private:
  using ResourcesByTeam = std::map<std::string, wire::Resources>;
  static const wire::Resources& find(const ResourcesByTeam& sums, const std::string& team);

  ResourcesByTeam allocated_;
  ResourcesByTeam ended_;
  const TeamShares* shares_ = nullptr;
};

}  // namespace cranklock::sched
