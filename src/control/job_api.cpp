#include "control/job_api.hpp"

#include <cstddef>
#include <optional>

#include "control/feasibility.hpp"
#include "control/job_record.hpp"
#include "control/job_submission.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using base::Failure;
using net::Request;
using net::Response;
using net::Task;
using store::Status;
using wire::JobState;

namespace {

/// Response time up to which the limiters do not lower the maximum number of requests in progress.
constexpr double kSlowResponseS = 0.1;
constexpr double kMinInProgress = 4;
/// Cancellations to send in smaller and smaller records if the store refuses them as too large.
constexpr int kMaxTriesTooLarge = 4;

double max_in_progress(const base::Settings& settings) {
  return settings.fd_limit / 8.0;
}

Response state_response(int status, const std::string& id, JobState state) {
  return make_response(status, wire::job_response(id, state));
}

Response status_response(const std::string& id, const JobStatus& status) {
  return make_response(200,
                       wire::job_status(id, status.state, status.done_tasks, status.running_tasks));
}

Response refusal(Infeasibility reason) {
  return unprocessable(to_text(reason));
}

/// Counts a request against a limiter during its lifetime.
class RequestInProgress {
 public:
  RequestInProgress(net::Limiter& limiter, net::Reactor& reactor)
      : limiter_(limiter), reactor_(reactor), began_(reactor.now()) {}
  RequestInProgress(const RequestInProgress&) = delete;
  RequestInProgress& operator=(const RequestInProgress&) = delete;
  ~RequestInProgress() { limiter_.release(reactor_.now() - began_, reactor_.now()); }

 private:
  net::Limiter& limiter_;
  net::Reactor& reactor_;
  double began_;
};

}  // namespace

JobApi::JobApi(Services services, std::function<bool()> store_reachable)
    : services_(services),
      lookup_(services.store, std::move(store_reachable)),
      dependency_check_(services.reactor, services.settings.cancel_s, lookup_),
      status_cache_(services.reactor, services.settings, services.store),
      cancellations_(services),
      write_limiter_(kMinInProgress, max_in_progress(services.settings), kSlowResponseS),
      // Waiting for a delta sync does not count as slow.
      read_limiter_(kMinInProgress, max_in_progress(services.settings),
                    kSlowResponseS + 2 * status_cache_.sync_interval_s()) {}

Task<Response> JobApi::handle(Request request) {
  const bool is_read = request.method == "GET";
  net::Limiter& limiter = is_read ? read_limiter_ : write_limiter_;
  if (!limiter.try_acquire()) co_return retry_later("too many requests in progress");
  const RequestInProgress in_progress(limiter, services_.reactor);
  auto routing = route(std::move(request));
  auto response = co_await routing;
  co_return response;
}

Task<Response> JobApi::route(Request request) {
  auto found = find_job_route(request.method, request.path);
  if (!found) {
    const RouteError& error = found.error();
    if (error.kind == RouteError::Kind::no_such_path) co_return no_such_path();
    co_return method_not_allowed(error.allowed_method);
  }
  const auto serve = [&] {
    switch (found->action) {
      case JobAction::submit:
        return submit(std::move(request.body));
      case JobAction::cancel:
        return cancel(std::move(found->job_id));
      case JobAction::status:
        break;
    }
    return status(std::move(found->job_id));
  };
  auto serving = serve();
  auto response = co_await serving;
  co_return response;
}

// ---- submissions ----

Task<Response> JobApi::submit(std::string body) {
  auto submission = parse_submission(body);
  body = std::string();  // releases its memory
  if (!submission) {
    const SubmissionError& error = submission.error();
    Response malformed = bad_request(error.reason);
    if (!error.job_id) co_return malformed;
    auto refusing = refuse_unless_stored(*error.job_id, std::move(malformed));
    auto response = co_await refusing;
    co_return response;
  }
  wire::JobSpec& spec = *submission;
  // Evaluated before the lookups below, during which the machine types may become known. A refusal
  // as infeasible is final, so it is only made if the types were known when it was evaluated.
  std::optional<Response> refused;
  if (!has_types()) {
    refused = retry_later("the machine types are not known yet");
  } else if (const auto reason = find_infeasibility(spec, services_.settings, types_)) {
    refused = refusal(*reason);
  }
  auto verdict = DependencyCheck::Verdict::not_cancelled;
  if (!refused) {
    auto checking = dependency_check_.check(spec.dependencies);
    verdict = co_await checking;
    if (verdict == DependencyCheck::Verdict::undetermined) co_return store_unavailable();
    if (verdict == DependencyCheck::Verdict::never_accepted) {
      refused = refusal(Infeasibility::dependency_not_accepted);
    }
  }
  if (refused) {
    auto refusing = refuse_unless_stored(spec.id, std::move(*refused));
    auto response = co_await refusing;
    co_return response;
  }
  if (const JobOutcome* outcome = lookup_.known_outcome(spec.id)) {
    co_return state_response(200, spec.id, outcome->state);
  }
  if (!lookup_.store_reachable()) co_return store_unavailable();
  auto accepting = accept(std::move(spec), verdict == DependencyCheck::Verdict::cancelled);
  auto response = co_await accepting;
  co_return response;
}

Task<Response> JobApi::refuse_unless_stored(std::string id, Response refusal) {
  auto finding = lookup_.find(id);
  auto found = co_await finding;
  if (!found) co_return store_unavailable();
  if (found->state == StoredJob::State::absent) co_return refusal;
  auto responding = respond_with_stored_state(id, std::move(*found));
  auto response = co_await responding;
  co_return response;
}

Task<Response> JobApi::accept(wire::JobSpec spec, bool cancelled) {
  const std::string id = spec.id;
  sched::Job job;
  job.spec = std::move(spec);
  job.created_ms = services_.reactor.wall_ms();
  // Judged by the announced limits: a refusal is final, and the limits that the store seems to have
  // at present may be lower for a while.
  const std::size_t max_bytes = services_.store.configured_max_value_bytes();
  if (!fits_for_life(job, max_bytes)) {
    auto refusing = refuse_unless_stored(id, bad_request("the description is too long"));
    auto response = co_await refusing;
    co_return response;
  }
  std::string main_value = write_record(job, max_bytes)[0];
  if (cancelled) {
    auto record = cancel_record(main_value, 0, job.created_ms, max_bytes);
    if (!record || !*record) co_return store_unavailable();
    main_value = std::move((*record)->main_value);
  }
  std::vector<wire::Compare> compares{{job_key(id), 0}, {outcome_key(id), 0}};
  std::vector<wire::Mutation> mutations{{job_key(id), std::move(main_value), 0}};
  auto creating =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                       kClientRequestTimeoutS, store::Client::Priority::user);
  const auto created = co_await creating;
  if (created.status == Status::ok) {
    co_return state_response(201, id, cancelled ? JobState::cancelled : JobState::queued);
  }
  if (created.too_large) {
    // The limits are lower than announced. The job may have been stored before they fell.
    auto refusing = refuse_unless_stored(id, retry_later("the state service takes no such value"));
    auto response = co_await refusing;
    co_return response;
  }
  if (created.status == Status::rejected)
    co_return retry_later("the state service is not available");
  // The job already exists or the write was unanswered: respond with the state that is stored.
  auto finding = lookup_.find(id);
  auto found = co_await finding;
  if (!found || found->state == StoredJob::State::absent) co_return store_unavailable();
  auto responding = respond_with_stored_state(id, std::move(*found));
  auto response = co_await responding;
  co_return response;
}

Task<Response> JobApi::respond_with_stored_state(std::string id, StoredJob found) {
  auto resolving = reportable_state(std::move(found));
  const auto state = co_await resolving;
  if (!state) co_return store_unavailable();
  co_return state_response(200, id, *state);
}

// ---- status ----

Task<base::Result<JobState, JobApi::StateError>> JobApi::reportable_state(StoredJob found) {
  constexpr int kMaxTries = 2;  // the record may change before the cancellation is written
  for (int tries = 0; tries < kMaxTries; ++tries) {
    if (found.state == StoredJob::State::ended) co_return found.outcome.state;
    if (found.state == StoredJob::State::absent) co_return Failure(StateError::no_longer_stored);
    const auto& dependencies = found.job.spec.dependencies;
    const bool waits = !dependencies.empty() && !found.started() && !found.cancelled();
    if (!waits) co_return status_of(found.job).state;
    auto checking = dependency_check_.check(dependencies);
    const auto verdict = co_await checking;
    if (verdict == DependencyCheck::Verdict::undetermined) {
      co_return Failure(StateError::dependencies_undetermined);
    }
    if (verdict != DependencyCheck::Verdict::cancelled) co_return JobState::queued;
    const std::string id = found.job.spec.id;
    auto writing = cancellations_.write(id, found);
    const auto written = co_await writing;
    if (written.status == Status::ok) co_return JobState::cancelled;
    auto finding = lookup_.find(id);
    auto found_again = co_await finding;
    if (!found_again) co_return Failure(StateError::lookup_failed);
    found = std::move(*found_again);
  }
  co_return Failure(StateError::contended);
}

Task<Response> JobApi::status(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  status_cache_.count_read();
  const bool may_be_cached = status_cache_.is_cheaper_than_reads() &&
                             lookup_.known_outcome(id) == nullptr && lookup_.store_reachable();
  if (may_be_cached) {
    auto fetching = status_cache_.find(id);
    const auto status = co_await fetching;
    if (status) co_return status_response(id, *status);
    if (status.error() == StatusMiss::store_unavailable) co_return store_unavailable();
  }
  auto finding = lookup_.find(id);
  auto found = co_await finding;
  if (!found) co_return store_unavailable();
  if (found->state == StoredJob::State::absent) co_return no_such_job();
  JobStatus status;
  if (found->state == StoredJob::State::ended) {
    status.done_tasks = found->outcome.tasks;
  } else {
    status.done_tasks = found->job.done.size();
    status.running_tasks = found->job.placements.size();
  }
  auto resolving = reportable_state(std::move(*found));
  const auto state = co_await resolving;
  if (!state) co_return store_unavailable();
  status.state = *state;
  co_return status_response(id, status);
}

// ---- cancellations ----

Task<Response> JobApi::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  const double deadline = services_.reactor.now() + 2 * kClientRequestTimeoutS;
  int tries_too_large = 0;
  while (services_.reactor.now() < deadline) {
    auto finding = lookup_.find(id);
    const auto found = co_await finding;
    if (!found) break;
    if (found->state == StoredJob::State::absent) co_return no_such_job();
    if (found->state == StoredJob::State::ended) {
      co_return state_response(200, id, found->outcome.state);
    }
    if (found->cancelled()) co_return state_response(200, id, JobState::cancelled);
    auto writing = cancellations_.write(id, *found);
    const auto written = co_await writing;
    if (written.status == Status::ok) co_return state_response(200, id, JobState::cancelled);
    // The next try writes a smaller record.
    const bool try_smaller = written.too_large && ++tries_too_large < kMaxTriesTooLarge;
    if (written.status == Status::rejected && !try_smaller) break;
    // The record has changed, or the write was unanswered: look the job up again.
  }
  co_return store_unavailable();
}

}  // namespace cranklock::control
