// Checks whether one of a job's dependencies was cancelled. Any node can do it, from stored
// records.
#pragma once

#include <string>
#include <vector>

#include "base/recent_map.hpp"
#include "control/job_lookup.hpp"
#include "net/reactor.hpp"

namespace cranklock::control {

/// Checks the direct and indirect dependencies of a job.
///
/// The leader normally cancels the dependents of a cancelled job promptly. This check covers
/// periods without a leader or with a lagging one: no client may get the state `queued` for a job
/// more than `cancel_s` after one of its dependencies was cancelled (invariant 14). A read that
/// finds a job live and not cancelled is therefore cached for only a quarter of `cancel_s`, counted
/// from the sending of the read. When the check finds a cancelled dependency, the caller writes the
/// cancellation into the dependent's record before it responds to a client, so that all nodes give
/// the same answer from then on, whatever they have cached.
class DependencyCheck {
 public:
  enum class Verdict {
    not_cancelled,   ///< no dependency is cancelled
    cancelled,       ///< at least one is cancelled
    never_accepted,  ///< a direct dependency does not exist
    /// The key-value store did not answer in time, a record is malformed, or more jobs must be read
    /// than one request allows.
    undetermined,
  };

  DependencyCheck(net::Reactor& reactor, double cancel_s, JobLookup& lookup)
      : reactor_(reactor),
        max_cache_age_s_(cancel_s / 4),
        lookup_(lookup),
        live_jobs_(kMaxLiveJobs) {}

  /// Checks the given direct dependencies of a job, and their own dependencies. Called for
  /// submissions and for status requests for jobs that have not started.
  net::Task<Verdict> check(std::vector<std::string> dependencies);

 private:
  /// Jobs; several times the number of concurrently live jobs in production fleets.
  static constexpr std::size_t kMaxLiveJobs = 16'384;

  /// A job that was live and not cancelled when it was read.
  struct LiveJob {
    double read_sent_at = 0;  ///< steady clock
    std::vector<std::string> dependencies;
  };
  /// Remaining reads and time for one request.
  struct ReadBudget {
    int reads_left = 0;
    double deadline = 0;
  };
  /// Result for one job.
  struct Finding {
    Verdict verdict = Verdict::undetermined;  ///< for this job, regardless of its dependencies
    std::vector<std::string> dependencies;    ///< to check next, if the job has not started
  };
  net::Task<Finding> check_one(std::string id, ReadBudget& budget);
  /// Evaluates the result of a lookup sent at time `sent`, and caches a live job.
  Finding evaluate(const std::string& id, const base::Result<StoredJob, LookupError>& found,
                   double sent);

  net::Reactor& reactor_;
  double max_cache_age_s_;
  JobLookup& lookup_;
  base::RecentMap<LiveJob> live_jobs_;
};

}  // namespace cranklock::control
