#include "sched/quota_usage.hpp"

namespace cranklock::sched {

void QuotaUsage::add(const std::string& team, const wire::Resources& resources) {
  allocated_[team] += resources;
}

void QuotaUsage::release(const std::string& team, const wire::Resources& resources) {
  allocated_[team] -= resources;
}

const wire::Resources& QuotaUsage::allocated(const std::string& team) const {
  static const wire::Resources none;
  const auto found = allocated_.find(team);
  return found == allocated_.end() ? none : found->second;
}

wire::Resources QuotaUsage::guarantee(const base::Team& team) const {
  return shares_ != nullptr ? shares_->guarantee(team) : full_guarantee(team);
}

wire::Resources QuotaUsage::limit(const base::Team& team) const {
  return shares_ != nullptr ? shares_->limit(team) : full_limit(team);
}

}  // namespace cranklock::sched
