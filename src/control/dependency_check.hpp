// Whether a job is cancelled with one that it needs, decided by any node from what is stored.
#pragma once

#include <string>
#include <vector>

#include "base/recent_map.hpp"
#include "control/job_lookup.hpp"
#include "net/reactor.hpp"

namespace cranklock::control {

/// Looks through the jobs that a job needs, directly and through others.
///
/// The leader cancels whatever needs a cancelled job within moments. This check is for the time in
/// which there is no leader, or one that lags: no user may be told `queued` of a job more than
/// `cancel_s` after one that it needs was cancelled. That a job was live and not cancelled is
/// therefore trusted for a quarter of `cancel_s` from the sending of the read that said so. What
/// the check finds cancelled is written into the dependent's record before any user is told, so
/// that every node gives the same answer from then on, whatever it trusts.
class DependencyCheck {
 public:
  enum class Verdict {
    clear,           ///< none of them is cancelled
    cancelled,       ///< one of them is
    never_accepted,  ///< one of the needs themselves does not exist
    unclear,  ///< the state service did not say, or there is more to read than fits a request
  };

  DependencyCheck(net::Reactor& reactor, double cancel_s, JobLookup& lookup)
      : reactor_(reactor), trusted_s_(cancel_s / 4), lookup_(lookup), live_(kMaxTrusted) {}

  net::Task<Verdict> check(std::vector<std::string> dependencies);

 private:
  /// Jobs, several times those that are live at once in the fleets in service.
  static constexpr std::size_t kMaxTrusted = 16'384;

  /// A job that was live and not cancelled.
  struct Live {
    double as_of = 0;  ///< when the read was sent
    std::vector<std::string> dependencies;
  };
  struct Progress {
    int reads = 0;
    double until = 0;
  };
  /// One job, without those that it needs; `dependencies` receives them.
  net::Task<Verdict> look_at(std::string id, Progress& progress,
                             std::vector<std::string>& dependencies);

  net::Reactor& reactor_;
  double trusted_s_;
  JobLookup& lookup_;
  base::RecentMap<Live> live_;
};

}  // namespace cranklock::control
