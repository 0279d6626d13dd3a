// The HTTP API for clients. Every node serves it, with or without a leader: responses are based on
// the key-value store, or on cached data that can no longer change.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/result.hpp"
#include "control/api_responses.hpp"
#include "control/cancellation_writer.hpp"
#include "control/dependency_check.hpp"
#include "control/job_lookup.hpp"
#include "control/job_routes.hpp"
#include "control/leader_term.hpp"
#include "control/services.hpp"
#include "control/status_cache.hpp"
#include "net/limiter.hpp"

namespace cranklock::control {

/// Accepts, reports and cancels jobs.
///
/// Across all nodes, the responses for a job only move forward in the order absent, accepted, ended
/// (invariant 13). Requests are idempotent: a repeated submission or cancellation returns the state
/// of the job.
class JobApi {
 public:
  /// `store_reachable` returns whether the key-value store has answered this node recently.
  JobApi(Services services, std::function<bool()> store_reachable);

  /// Handles any request to /v1/jobs or below.
  net::Task<net::Response> handle(net::Request request);

  /// Sets the cloud's machine types. Until then, submissions of new jobs get 503.
  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool has_types() const { return !types_.empty(); }

 private:
  /// Why the state of a job cannot be reported now.
  enum class StateError {
    lookup_failed,
    no_longer_stored,
    dependencies_undetermined,
    contended,  ///< its record kept changing while a cancellation was being written
  };

  net::Task<net::Response> route(net::Request request);
  net::Task<net::Response> submit(std::string body);
  net::Task<net::Response> status(std::string id);
  net::Task<net::Response> cancel(std::string id);

  /// Responds to a submission that would be refused. If the job is already stored, the submission
  /// is a repeat and gets the job's state, whatever its body contains now.
  net::Task<net::Response> refuse_unless_stored(std::string id, net::Response refusal);
  /// Creates the record. `cancelled`: marked as cancelled, because a dependency is.
  net::Task<net::Response> accept(wire::JobSpec spec, bool cancelled);
  /// Responds to a submission of a job that is already stored.
  net::Task<net::Response> respond_with_stored_state(std::string id, StoredJob found);
  /// The job's state to report to a client. If a dependency was cancelled, first marks the job as
  /// cancelled in its record.
  net::Task<base::Result<wire::JobState, StateError>> reportable_state(StoredJob found);

  Services services_;
  JobLookup lookup_;
  DependencyCheck dependency_check_;
  StatusCache status_cache_;
  CancellationWriter cancellations_;
  net::Limiter write_limiter_;  ///< for submissions and cancellations
  net::Limiter read_limiter_;   ///< separate, so that status requests do not delay writes
  std::vector<wire::MachineType> types_;
};

}  // namespace cranklock::control
