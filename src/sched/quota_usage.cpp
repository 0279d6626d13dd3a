#include "sched/quota_usage.hpp"

namespace cranklock::sched {

void QuotaUsage::add(const std::string& team, const wire::Resources& resources) {
  allocated_[team] += resources;
}

void QuotaUsage::release(const std::string& team, const wire::Resources& resources) {
  allocated_[team] -= resources;
}

const wire::Resources& QuotaUsage::allocated(const std::string& team) const {
  return find(allocated_, team);
}

void QuotaUsage::add_ended(const std::string& team, const wire::Resources& resources) {
  ended_[team] += resources;
}

void QuotaUsage::remove_ended(const std::string& team, const wire::Resources& resources) {
  ended_[team] -= resources;
}

const wire::Resources& QuotaUsage::ended(const std::string& team) const {
  return find(ended_, team);
}

const wire::Resources& QuotaUsage::find(const ResourcesByTeam& sums, const std::string& team) {
  static const wire::Resources none;
  const auto found = sums.find(team);
  return found == sums.end() ? none : found->second;
}

wire::Resources QuotaUsage::guarantee(const base::Team& team) const {
  return shares_ != nullptr ? shares_->guarantee(team) : full_guarantee(team);
}

wire::Resources QuotaUsage::limit(const base::Team& team) const {
  return shares_ != nullptr ? shares_->limit(team) : full_limit(team);
}

bool QuotaUsage::is_within_limit(const base::Team& team, const wire::Resources& sum) const {
  constexpr double kAmountTolerance = 1e-6;  // rounding of sums of decimals
  const wire::Resources most = limit(team);
  return (team.gpus_max <= 0 || sum.gpus <= most.gpus + kAmountTolerance) &&
         (team.cpus_max <= 0 || sum.cpus <= most.cpus + kAmountTolerance);
}

bool QuotaUsage::exceeds_limit(const base::Team& team) const {
  return !is_within_limit(team, allocated(team.name));
}

}  // namespace cranklock::sched
