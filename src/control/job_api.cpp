#include "control/job_api.hpp"

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

constexpr double kSlowAnswerS = 0.1;
constexpr double kMinInProgress = 4;

double max_in_progress(const base::Settings& settings) {
  return settings.fd_limit / 8.0;
}

Response state_response(int status, const std::string& id, JobState state) {
  return make_response(status, wire::job_response(id, state));
}

Response status_response(const std::string& id, const JobStatus& status) {
  return make_response(200, wire::job_status(id, status.state, status.done, status.running));
}

Response refusal(Infeasibility reason) {
  return unprocessable(to_text(reason));
}

/// A request in progress, which counts against a limit for as long as this object lives.
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

JobApi::JobApi(Services services, std::function<bool()> state_reached)
    : services_(services),
      lookup_(services.store, std::move(state_reached)),
      dependency_check_(services.reactor, services.settings.cancel_s, lookup_),
      status_cache_(services.reactor, services.settings, services.store),
      write_limiter_(kMinInProgress, max_in_progress(services.settings), kSlowAnswerS),
      // One that waits for a delta sync is not slow.
      read_limiter_(kMinInProgress, max_in_progress(services.settings),
                    kSlowAnswerS + 2 * status_cache_.interval()) {}

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
  body = std::string();  // its memory too
  if (!submission) {
    const SubmissionError& error = submission.error();
    Response malformed = bad_request(error.reason);
    if (!error.job_id) co_return malformed;
    auto refusing = refuse_unless_stored(*error.job_id, std::move(malformed));
    auto response = co_await refusing;
    co_return response;
  }
  wire::JobSpec& spec = *submission;
  // Judged by the machine types as they are known now: they may be learnt while what is stored is
  // looked up, and a refusal that rests on nothing would be final.
  std::optional<Response> refused;
  if (!knows_types()) {
    refused = retry_later("the machine types are not known yet");
  } else if (const auto reason = find_infeasibility(spec, services_.settings, types_)) {
    refused = refusal(*reason);
  }
  auto verdict = DependencyCheck::Verdict::clear;
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
  if (!lookup_.state_reached()) co_return store_unavailable();
  auto accepting = accept(std::move(spec), verdict == DependencyCheck::Verdict::cancelled);
  auto response = co_await accepting;
  co_return response;
}

Task<Response> JobApi::refuse_unless_stored(std::string id, Response refusal) {
  auto looking = lookup_.find(id);
  auto found = co_await looking;
  if (!found) co_return store_unavailable();
  if (found->state == StoredJob::State::absent) co_return refusal;
  auto answering = respond_for_stored(id, std::move(*found));
  auto response = co_await answering;
  co_return response;
}

Task<Response> JobApi::accept(wire::JobSpec spec, bool cancelled) {
  const std::string id = spec.id;
  sched::Job job;
  job.spec = std::move(spec);
  job.created_ms = services_.reactor.wall_ms();
  if (cancelled) job.cancelled_at_ms = job.created_ms;
  const auto values = write_record(job, services_.store.max_value_bytes());
  if (values[0].size() > services_.store.max_value_bytes()) {
    co_return bad_request("the description is too long");
  }
  std::vector<wire::Compare> compares{{job_key(id), 0}, {outcome_key(id), 0}};
  std::vector<wire::Mutation> mutations{{job_key(id), values[0], 0}};
  auto creating = services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                   kUserTimeout, store::Client::Priority::user);
  const auto created = co_await creating;
  if (created.status == Status::ok) {
    co_return state_response(201, id, cancelled ? JobState::cancelled : JobState::queued);
  }
  if (created.status == Status::rejected)
    co_return retry_later("the state service is not available");
  // Known already, or unanswered: what is stored tells.
  auto looking = lookup_.find(id);
  auto found = co_await looking;
  if (!found || found->state == StoredJob::State::absent) co_return store_unavailable();
  auto answering = respond_for_stored(id, std::move(*found));
  auto response = co_await answering;
  co_return response;
}

Task<Response> JobApi::respond_for_stored(std::string id, StoredJob found) {
  auto telling = reportable_state(std::move(found));
  const auto state = co_await telling;
  if (!state) co_return store_unavailable();
  co_return state_response(200, id, *state);
}

// ---- status ----

Task<base::Result<JobState, JobApi::StateError>> JobApi::reportable_state(StoredJob found) {
  constexpr int kMaxTries = 2;  // the record may change meanwhile
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
    auto writing = write_cancellation(id, found);
    const auto written = co_await writing;
    if (written == Status::ok) co_return JobState::cancelled;
    auto looking = lookup_.find(id);
    auto found_again = co_await looking;
    if (!found_again) co_return Failure(StateError::lookup_failed);
    found = std::move(*found_again);
  }
  co_return Failure(StateError::contended);
}

Task<Response> JobApi::status(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  status_cache_.count_read();
  const bool may_be_cached = status_cache_.is_worthwhile() &&
                             lookup_.known_outcome(id) == nullptr && lookup_.state_reached();
  if (may_be_cached) {
    auto asking = status_cache_.find(id);
    const auto status = co_await asking;
    if (status) co_return status_response(id, *status);
    if (status.error() == StatusMiss::store_unavailable) co_return store_unavailable();
  }
  auto looking = lookup_.find(id);
  auto found = co_await looking;
  if (!found) co_return store_unavailable();
  if (found->state == StoredJob::State::absent) co_return no_such_job();
  JobStatus status;
  if (found->state == StoredJob::State::ended) {
    status.done = found->outcome.tasks;
  } else {
    status.done = found->job.done.size();
    status.running = found->job.placements.size();
  }
  auto telling = reportable_state(std::move(*found));
  const auto state = co_await telling;
  if (!state) co_return store_unavailable();
  status.state = *state;
  co_return status_response(id, status);
}

// ---- cancellations ----

Task<Status> JobApi::write_cancellation(std::string id, const StoredJob& found) {
  auto main_value = with_cancellation(found.main_value, services_.reactor.wall_ms());
  if (!main_value) co_return Status::rejected;
  std::vector<wire::Compare> compares{{job_key(id), found.job.record.revision}};
  std::vector<wire::Mutation> mutations{{job_key(id), std::move(*main_value), 0}};
  auto writing = services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                  kUserTimeout, store::Client::Priority::user);
  const auto written = co_await writing;
  co_return written.status;
}

Task<Response> JobApi::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return no_such_job();
  const double deadline = services_.reactor.now() + 2 * kUserTimeout;
  while (services_.reactor.now() < deadline) {
    auto looking = lookup_.find(id);
    const auto found = co_await looking;
    if (!found) break;
    if (found->state == StoredJob::State::absent) co_return no_such_job();
    if (found->state == StoredJob::State::ended) {
      co_return state_response(200, id, found->outcome.state);
    }
    if (found->cancelled()) co_return state_response(200, id, JobState::cancelled);
    auto writing = write_cancellation(id, *found);
    const auto written = co_await writing;
    if (written == Status::ok) co_return state_response(200, id, JobState::cancelled);
    if (written == Status::rejected) break;
    // The record changed meanwhile, or no answer came: look again.
  }
  co_return store_unavailable();
}

}  // namespace cranklock::control
