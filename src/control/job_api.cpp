#include "control/job_api.hpp"

#include <algorithm>
#include <optional>
#include <string_view>
#include <variant>

#include "control/job_record.hpp"
#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Request;
using net::Response;
using net::Task;
using store::Status;
using wire::JobState;

namespace {
constexpr double kSlowAnswer = 0.1;
constexpr double kMinInProgress = 4;
constexpr const char* kNoStateService = "the state service does not answer";
}  // namespace

Response make_response(int status, std::string body) {
  Response r;
  r.status = status;
  r.body = std::move(body);
  return r;
}

Response retry_later(std::string_view why) {
  Response r = make_response(503, wire::error_response(why));
  r.retry_after_s = 1;
  return r;
}

JobApi::JobApi(Services services, std::function<bool()> state_reached)
    : services_(services),
      lookup_(services.store, std::move(state_reached)),
      dependency_check_(services.reactor, services.settings.cancel_s, lookup_),
      status_cache_(services.reactor, services.settings, services.store),
      write_limiter_(kMinInProgress, services.settings.fd_limit / 8.0, kSlowAnswer),
      // One that waits for a shared exchange is not slow.
      read_limiter_(kMinInProgress, services.settings.fd_limit / 8.0,
                    kSlowAnswer + 2 * status_cache_.interval()) {}

Task<Response> JobApi::handle(Request request) {
  net::Limiter& limiter = is_read(request) ? read_limiter_ : write_limiter_;
  if (!limiter.try_enter()) co_return retry_later("too many requests in progress");
  struct Leave {
    net::Limiter& limiter;
    net::Reactor& reactor;
    double since;
    ~Leave() { limiter.leave(reactor.now() - since, reactor.now()); }
  };
  Leave leave{limiter, services_.reactor, services_.reactor.now()};
  auto routing = route(std::move(request));
  auto response = co_await routing;
  co_return response;
}

Task<Response> JobApi::route(Request request) {
  constexpr std::string_view kJobs = "/v1/jobs", kCancelSuffix = "/withdraw";
  const auto refuse_method = [](const char* allowed) {
    Response r = make_response(405, wire::error_response("method not allowed"));
    r.allow = allowed;
    return r;
  };
  std::string rest = request.path.substr(kJobs.size());
  if (rest.empty()) {
    if (request.method != "POST") co_return refuse_method("POST");
    auto work = submit(std::move(request.body));
    auto response = co_await work;
    co_return response;
  }
  rest.erase(0, 1);
  if (rest.ends_with(kCancelSuffix)) {
    rest.resize(rest.size() - kCancelSuffix.size());
    if (rest.find('/') != std::string::npos)
      co_return make_response(404, wire::error_response("no such path"));
    if (request.method != "POST") co_return refuse_method("POST");
    auto work = cancel(std::move(rest));
    auto response = co_await work;
    co_return response;
  }
  if (rest.find('/') != std::string::npos)
    co_return make_response(404, wire::error_response("no such path"));
  if (request.method != "GET") co_return refuse_method("GET");
  auto work = status(std::move(rest));
  auto response = co_await work;
  co_return response;
}

std::string JobApi::infeasible_reason(const wire::JobSpec& spec) const {
  if (std::find(spec.dependencies.begin(), spec.dependencies.end(), spec.id) !=
      spec.dependencies.end()) {
    return "needs itself";
  }
  const auto* team = services_.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits = std::any_of(types_.begin(), types_.end(), [&](const wire::MachineType& t) {
    const bool named = spec.types.empty() ||
                       std::find(spec.types.begin(), spec.types.end(), t.name) != spec.types.end();
    const bool in_zone =
        spec.zone.empty() || std::find(t.zones.begin(), t.zones.end(), spec.zone) != t.zones.end();
    return named && in_zone && spec.resources.fits_in(t.resources);
  });
  if (!fits) return "no allowed machine type has room for a task";
  const wire::Resources all = spec.kind == wire::JobKind::job_array
                                  ? spec.resources
                                  : spec.resources * static_cast<double>(spec.tasks);
  if ((team->cpus_max > 0 && all.cpus > team->cpus_max) ||
      (team->gpus_max > 0 && all.gpus > team->gpus_max)) {
    return "more than the team's limit";
  }
  return {};
}

namespace {
/// What a submission's body says.
struct Submission {
  bool is_object = false;
  std::optional<std::string> id;                  ///< only a valid one
  std::variant<wire::JobSpec, std::string> spec;  ///< or what is wrong with it
};

// Guards the memory of a small machine: a parsed tree may be twenty times as large as its text, and
// must not stay while the state service is waited for.
Submission parse_submission(std::string_view body) {
  Submission out;
  const wire::JsonDocument document(body);
  out.is_object = document.is_object();
  if (!out.is_object) return out;
  out.spec = wire::parse_job(document.root());
  out.id = wire::read_text(document.root(), "Id");
  if (out.id && !wire::valid_job_id(*out.id)) out.id.reset();
  return out;
}
}  // namespace

Task<std::optional<JobState>> JobApi::reportable_state(StoredJob found) {
  constexpr int kTries = 2;  // the record may change meanwhile
  for (int tries = 0; tries < kTries; ++tries) {
    if (found.kind == StoredJob::Kind::ended) co_return found.outcome.state;
    if (found.kind != StoredJob::Kind::live) co_return std::nullopt;
    const std::string id = found.job.spec.id;
    const bool waits =
        !found.job.spec.dependencies.empty() && !found.started() && !found.cancelled();
    if (!waits) co_return status_of(found.job).state;
    auto checking = dependency_check_.check(found.job.spec.dependencies);
    const auto verdict = co_await checking;
    if (verdict == DependencyCheck::Verdict::unclear) co_return std::nullopt;
    if (verdict != DependencyCheck::Verdict::cancelled) co_return JobState::queued;
    auto writing = write_cancellation(id, found);
    const auto written = co_await writing;
    if (written == Status::ok) co_return JobState::cancelled;
    auto looking = lookup_.find(id);
    found = co_await looking;
  }
  co_return std::nullopt;
}

Task<Response> JobApi::respond_for_existing(std::string id, StoredJob found) {
  auto telling = reportable_state(std::move(found));
  const auto state = co_await telling;
  if (!state) co_return retry_later(kNoStateService);
  co_return make_response(200, wire::job_response(id, *state));
}

Task<Response> JobApi::submit(std::string body) {
  auto submission = parse_submission(body);
  body = std::string();  // its memory too
  if (!submission.is_object)
    co_return make_response(400, wire::error_response("expected a JSON object"));
  auto& parsed = submission.spec;
  const auto& id = submission.id;
  if (!id) co_return make_response(400, wire::error_response(std::get<std::string>(parsed)));
  const bool malformed = std::holds_alternative<std::string>(parsed);
  // As they are known now: they may be learnt while what is stored is looked up, and a refusal that
  // rests on nothing would be final.
  const bool types_known = !types_.empty();
  std::string reason =
      malformed || !types_known ? "" : infeasible_reason(std::get<wire::JobSpec>(parsed));
  auto dependencies = DependencyCheck::Verdict::clear;
  if (!malformed && types_known && reason.empty()) {
    auto checking = dependency_check_.check(std::get<wire::JobSpec>(parsed).dependencies);
    dependencies = co_await checking;
    if (dependencies == DependencyCheck::Verdict::unclear) co_return retry_later(kNoStateService);
    if (dependencies == DependencyCheck::Verdict::never_accepted)
      reason = "needs a job that nobody accepted";
  }
  if (malformed || !reason.empty() || !types_known) {
    // A repeat of an accepted job is answered with its state, whatever it says now.
    auto looking = lookup_.find(*id);
    auto found = co_await looking;
    if (found.kind == StoredJob::Kind::unclear) co_return retry_later(kNoStateService);
    if (found.kind != StoredJob::Kind::absent) {
      auto answering = respond_for_existing(*id, std::move(found));
      auto response = co_await answering;
      co_return response;
    }
    if (malformed)
      co_return make_response(400, wire::error_response(std::get<std::string>(parsed)));
    if (!types_known) co_return retry_later("the machine types are not known yet");
    co_return make_response(422, wire::error_response(reason));
  }
  if (const JobOutcome* outcome = lookup_.known_outcome(*id)) {
    co_return make_response(200, wire::job_response(*id, outcome->state));
  }
  if (!lookup_.state_reached()) co_return retry_later(kNoStateService);
  auto accepting = accept(std::move(std::get<wire::JobSpec>(parsed)),
                          dependencies == DependencyCheck::Verdict::cancelled);
  auto response = co_await accepting;
  co_return response;
}

Task<Response> JobApi::accept(wire::JobSpec spec, bool cancelled) {
  const std::string id = spec.id;
  sched::Job job;
  job.spec = std::move(spec);
  job.created_ms = services_.reactor.wall_ms();
  if (cancelled) job.cancelled_at_ms = job.created_ms;
  const auto texts = write_record(job, services_.store.value_bytes());
  if (texts[0].size() > services_.store.value_bytes()) {
    co_return make_response(400, wire::error_response("the description is too long"));
  }
  std::vector<wire::Compare> compares{{job_key(id), 0}, {outcome_key(id), 0}};
  std::vector<wire::Mutation> mutations{{job_key(id), texts[0], 0}};
  auto creating = services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                   kUserTimeout, store::Client::Priority::user);
  const auto created = co_await creating;
  if (created.status == Status::ok) {
    const auto state = cancelled ? JobState::cancelled : JobState::queued;
    co_return make_response(201, wire::job_response(id, state));
  }
  if (created.status == Status::refused)
    co_return retry_later("the state service is not available");
  // Known already, or unanswered: what is stored tells.
  auto looking = lookup_.find(id);
  auto found = co_await looking;
  if (found.kind != StoredJob::Kind::live && found.kind != StoredJob::Kind::ended) {
    co_return retry_later(kNoStateService);
  }
  auto answering = respond_for_existing(id, std::move(found));
  auto response = co_await answering;
  co_return response;
}

Task<Response> JobApi::status(std::string id) {
  const auto no_such = [] { return make_response(404, wire::error_response("no such job")); };
  if (!wire::valid_job_id(id)) co_return no_such();
  const bool share = status_cache_.record_read();
  if (share && lookup_.known_outcome(id) == nullptr && lookup_.state_reached()) {
    auto asking = status_cache_.find(id);
    const auto found = co_await asking;
    if (found.kind == StatusCache::Kind::unavailable) co_return retry_later(kNoStateService);
    if (found.kind == StatusCache::Kind::known) {
      const auto& status = found.status;
      co_return make_response(200, wire::job_status(id, status.state, status.done, status.running));
    }
  }
  auto looking = lookup_.find(id);
  auto found = co_await looking;
  if (found.kind == StoredJob::Kind::absent) co_return no_such();
  const bool ended = found.kind == StoredJob::Kind::ended;
  const std::uint64_t done = ended ? found.outcome.tasks : found.job.done.size();
  const std::uint64_t running = ended ? 0 : found.job.placements.size();
  auto telling = reportable_state(std::move(found));
  const auto state = co_await telling;
  if (!state) co_return retry_later(kNoStateService);
  co_return make_response(200, wire::job_status(id, *state, done, running));
}

Task<Status> JobApi::write_cancellation(std::string id, const StoredJob& found) {
  auto text = with_cancellation(found.text, services_.reactor.wall_ms());
  if (!text) co_return Status::refused;
  std::vector<wire::Compare> compares{{job_key(id), found.job.revision}};
  std::vector<wire::Mutation> mutations{{job_key(id), std::move(*text), 0}};
  auto writing = services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                                  kUserTimeout, store::Client::Priority::user);
  const auto written = co_await writing;
  co_return written.status;
}

Task<Response> JobApi::cancel(std::string id) {
  if (!wire::valid_job_id(id)) co_return make_response(404, wire::error_response("no such job"));
  const double until = services_.reactor.now() + 2 * kUserTimeout;
  while (services_.reactor.now() < until) {
    auto looking = lookup_.find(id);
    const auto found = co_await looking;
    if (found.kind == StoredJob::Kind::unclear) break;
    if (found.kind == StoredJob::Kind::absent) {
      co_return make_response(404, wire::error_response("no such job"));
    }
    if (found.kind == StoredJob::Kind::ended) {
      co_return make_response(200, wire::job_response(id, found.outcome.state));
    }
    if (found.job.cancelled()) {
      co_return make_response(200, wire::job_response(id, JobState::cancelled));
    }
    auto writing = write_cancellation(id, found);
    const auto written = co_await writing;
    if (written == Status::ok) {
      co_return make_response(200, wire::job_response(id, JobState::cancelled));
    }
    if (written == Status::refused) break;
    // The record changed meanwhile, or no answer came: look again.
  }
  co_return retry_later(kNoStateService);
}

}  // namespace cranklock::control
