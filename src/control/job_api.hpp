// The HTTP API for clients. Any node serves it, with or without a leader: every answer comes from
// the key-value store, or from what can't change any more.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/result.hpp"
#include "control/api_responses.hpp"
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
/// For each job the answers of all nodes form one order: absent, accepted, over (invariant 13).
/// Requests are idempotent: a repeated submission or cancellation gets the state of the job.
class JobApi {
 public:
  /// `state_reached` says whether the key-value store has answered this node lately.
  JobApi(Services services, std::function<bool()> state_reached);

  /// Answers anything under /v1/jobs.
  net::Task<net::Response> handle(net::Request request);

  /// The cloud's machine types, without which submissions are not judged.
  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool knows_types() const { return !types_.empty(); }

 private:
  /// Why a client can't be told the state of a job now.
  enum class StateError {
    lookup_failed,
    no_longer_stored,
    dependencies_undetermined,
    contended,  ///< its record was changed again and again while a cancellation was written
  };

  net::Task<net::Response> route(net::Request request);
  net::Task<net::Response> submit(std::string body);
  net::Task<net::Response> status(std::string id);
  net::Task<net::Response> cancel(std::string id);

  /// The answer to a submission that is refused, unless the job is stored: a repeat of an accepted
  /// job is answered with its state, whatever it says now.
  net::Task<net::Response> refuse_unless_stored(std::string id, net::Response refusal);
  /// Creates the record. `cancelled`: together with a dependency.
  net::Task<net::Response> accept(wire::JobSpec spec, bool cancelled);
  /// The answer to a submission of a job that is stored already.
  net::Task<net::Response> respond_for_stored(std::string id, StoredJob found);
  /// The job's state as a client may be told it. A job that is cancelled with a dependency is
  /// marked as cancelled in its record first.
  net::Task<base::Result<wire::JobState, StateError>> reportable_state(StoredJob found);
  /// Marks a live record as cancelled, and changes nothing else in it.
  net::Task<store::Status> write_cancellation(std::string id, const StoredJob& found);

  Services services_;
  JobLookup lookup_;
  DependencyCheck dependency_check_;
  StatusCache status_cache_;
  net::Limiter write_limiter_;  ///< of submissions and cancellations
  net::Limiter read_limiter_;   ///< apart, so that status requests hold up neither
  std::vector<wire::MachineType> types_;
};

}  // namespace cranklock::control
