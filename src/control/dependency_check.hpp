// Whether a job is cancelled with one of its dependencies, decided by any node from what is stored.
#pragma once

#include <string>
#include <vector>

#include "base/recent_map.hpp"
#include "control/job_lookup.hpp"
#include "net/reactor.hpp"

namespace cranklock::control {

/// Looks through the dependencies of a job, direct and indirect ones.
///
/// The leader cancels the dependents of a cancelled job within moments. This check is for the time
/// in which there is no leader, or one that lags: no client may be told `queued` of a job more than
/// `cancel_s` after a dependency was cancelled (invariant 14). That a job was live and not
/// cancelled is therefore trusted for a quarter of `cancel_s` from the sending of the read that
/// said so. What the check finds cancelled is written into the dependent's record before any client
/// is told, so that every node gives the same answer from then on, whatever it trusts.
class DependencyCheck {
 public:
  enum class Verdict {
    clear,           ///< no dependency is cancelled
    cancelled,       ///< one of them is
    never_accepted,  ///< a direct dependency does not exist
    /// The key-value store did not say, or there is more to read than fits one request.
    undetermined,
  };

  DependencyCheck(net::Reactor& reactor, double cancel_s, JobLookup& lookup)
      : reactor_(reactor), trusted_s_(cancel_s / 4), lookup_(lookup), live_(kMaxTrusted) {}

  /// Checks the direct dependencies of a job, and through them the indirect ones. Called for
  /// submissions, and for reads of jobs that have not started.
  net::Task<Verdict> check(std::vector<std::string> dependencies);

 private:
  /// Jobs, several times those that are live at once in the fleets in service.
  static constexpr std::size_t kMaxTrusted = 16'384;

  /// A job that was live and not cancelled.
  struct LiveJob {
    double as_of = 0;  ///< when the read was sent
    std::vector<std::string> dependencies;
  };
  /// What the reads for one request may still take.
  struct ReadBudget {
    int reads_left = 0;
    double deadline = 0;
  };
  /// What is found of one job.
  struct Finding {
    Verdict verdict = Verdict::undetermined;  ///< on this job, regardless of its dependencies
    std::vector<std::string> dependencies;    ///< of one that is clear and may be waiting for them
  };
  net::Task<Finding> check_one(std::string id, ReadBudget& budget);
  /// What a lookup that was sent at this time has found.
  Finding judge(const std::string& id, const base::Result<StoredJob, LookupError>& found,
                double sent);

  net::Reactor& reactor_;
  double trusted_s_;
  JobLookup& lookup_;
  base::RecentMap<LiveJob> live_;
};

}  // namespace cranklock::control
