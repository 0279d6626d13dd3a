// Whether the start of a placed task may be sent to its machine.
#pragma once

#include "base/settings.hpp"
#include "sched/job.hpp"
#include "sched/quota_usage.hpp"

namespace cranklock::sched {

/// The conditions for a start that hold for every way in which it is sent.
class StartPolicy {
 public:
  /// Both must outlive this object.
  StartPolicy(const base::Settings& settings, const QuotaUsage& quota)
      : settings_(settings), quota_(quota) {}

  /// Whether the placement's start may be sent now (invariants 2, 9 and 14). Does not consider stop
  /// requests.
  bool may_start(const Job& job, const Placement& placement) const;
  /// Whether the placement was read from the store, has not been started by this leader, and must
  /// not be, since the stored placements of its team exceed the team's limit.
  bool is_excess(const Job& job, const Placement& placement) const;

 private:
  const base::Settings& settings_;
  const QuotaUsage& quota_;
};

}  // namespace cranklock::sched
