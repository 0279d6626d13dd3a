// The users' interface. Any node serves it, with or without a leader: every answer comes from the
// state service, or from what can't change any more.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "control/dependency_check.hpp"
#include "control/job_lookup.hpp"
#include "control/leader_term.hpp"
#include "control/status_cache.hpp"
#include "net/limiter.hpp"

namespace cranklock::control {

class JobApi {
 public:
  /// `state_reached` says whether the state service has answered this node lately.
  JobApi(Services services, std::function<bool()> state_reached);

  /// Answers anything under /v1/jobs.
  net::Task<net::Response> handle(net::Request request);

  void set_types(std::vector<wire::MachineType> types) { types_ = std::move(types); }
  bool knows_types() const { return !types_.empty(); }

 private:
  net::Task<net::Response> route(net::Request request);
  /// Asks, and changes nothing.
  static bool is_read(const net::Request& request) { return request.method == "GET"; }
  net::Task<net::Response> submit(std::string body);
  net::Task<net::Response> status(std::string id);
  net::Task<net::Response> cancel(std::string id);

  /// The job's state as a user may be told it, or nothing if that can't be told now. A job that is
  /// cancelled with one that it needs is marked so in its record first.
  net::Task<std::optional<wire::JobState>> reportable_state(StoredJob found);
  /// The answer to a submission of a job that is known already.
  net::Task<net::Response> respond_for_existing(std::string id, StoredJob found);
  /// Creates the record. `cancelled`: together with a job that it needs.
  net::Task<net::Response> accept(wire::JobSpec spec, bool cancelled);
  /// Marks a live record as cancelled, and changes nothing else in it.
  net::Task<store::Status> write_cancellation(std::string id, const StoredJob& found);
  /// Why the job can never run; empty if it may.
  std::string infeasible_reason(const wire::JobSpec& spec) const;

  Services services_;
  JobLookup lookup_;
  DependencyCheck dependency_check_;
  StatusCache status_cache_;
  net::Limiter write_limiter_;  ///< of submissions and cancellations
  net::Limiter read_limiter_;   ///< apart, so that questions hold up neither
  std::vector<wire::MachineType> types_;
};

net::Response make_response(int status, std::string body);
/// Not now: says at once when to come back.
net::Response retry_later(std::string_view why);

}  // namespace cranklock::control
