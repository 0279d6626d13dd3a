#include "control/users.hpp"

#include <algorithm>
#include <optional>
#include <string_view>
#include <variant>

namespace cranklock::control {

using net::Request;
using net::Response;
using net::Task;
using store::Outcome;
using wire::JobState;

namespace {
constexpr double kUserTimeout = 1.5;  // users wait 2 s for a status
constexpr std::size_t kEndedKept = 4000;
constexpr double kSlowAnswer = 0.1;

JobState state_of(const sched::Job& job) {
  if (job.withdrawn()) return JobState::withdrawn;
  return job.places.empty() ? JobState::queued : JobState::running;
}
}  // namespace

Response plain_answer(int status, std::string body) {
  Response r;
  r.status = status;
  r.body = std::move(body);
  return r;
}

Response come_back(std::string_view why) {
  Response r = plain_answer(503, wire::error_answer(why));
  r.retry_after_s = 1;
  return r;
}

Users::Users(Services services, std::function<bool()> state_reached)
    : services_(services),
      state_reached_(std::move(state_reached)),
      limiter_(4, services.settings.fd_limit / 8.0, kSlowAnswer) {}

Task<Response> Users::handle(Request request) {
  if (!limiter_.try_enter()) co_return come_back("too many requests in progress");
  struct Leave {
    net::Limiter& limiter;
    net::Reactor& reactor;
    double since;
    ~Leave() { limiter.leave(reactor.now() - since, reactor.now()); }
  };
  Leave leave{limiter_, services_.reactor, services_.reactor.now()};
  auto routing = route(std::move(request));
  auto response = co_await routing;
  co_return response;
}

Task<Response> Users::route(Request request) {
  constexpr std::string_view kJobs = "/v1/jobs", kWithdraw = "/withdraw";
  const auto refuse_method = [](const char* allowed) {
    Response r = plain_answer(405, wire::error_answer("method not allowed"));
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
  if (rest.ends_with(kWithdraw)) {
    rest.resize(rest.size() - kWithdraw.size());
    if (rest.find('/') != std::string::npos)
      co_return plain_answer(404, wire::error_answer("no such path"));
    if (request.method != "POST") co_return refuse_method("POST");
    auto work = withdraw(std::move(rest));
    auto response = co_await work;
    co_return response;
  }
  if (rest.find('/') != std::string::npos)
    co_return plain_answer(404, wire::error_answer("no such path"));
  if (request.method != "GET") co_return refuse_method("GET");
  auto work = status(std::move(rest));
  auto response = co_await work;
  co_return response;
}

void Users::remember(const std::string& id, const Ending& ending) {
  if (!ended_.emplace(id, ending).second) return;
  ended_order_.push_back(id);
  if (ended_order_.size() > kEndedKept) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

Task<Users::Found> Users::look_up(std::string id) {
  Found found;
  if (const auto it = ended_.find(id); it != ended_.end()) {
    found.kind = Found::Kind::ended;
    found.ending = it->second;
    co_return found;
  }
  // Guards against users who wait for a state service that does not answer this node: they are told
  // at once, and find another node the sooner.
  if (!state_reached_()) co_return found;
  // First the live record, then the ended one: a job moves from the first to the second at once and
  // never back, so missing both, in this order, means that it was in neither when asked.
  auto reading = services_.store.read(job_key(id), kUserTimeout);
  auto live = co_await reading;
  if (live.outcome == Outcome::ok) {
    int parts = 0;
    auto job = read_record(live.value.data, parts);
    if (!job) co_return found;
    found.kind = Found::Kind::live;
    found.job = std::move(*job);
    found.job.revision = live.value.revision;
    found.text = std::move(live.value.data);
    co_return found;
  }
  if (live.outcome != Outcome::failed) co_return found;
  auto reading_ended = services_.store.read(ended_key(id), kUserTimeout);
  const auto ended = co_await reading_ended;
  if (ended.outcome == Outcome::failed) found.kind = Found::Kind::absent;
  if (ended.outcome != Outcome::ok) co_return found;
  const auto ending = read_ending(ended.value.data);
  if (!ending) co_return found;
  found.kind = Found::Kind::ended;
  found.ending = *ending;
  remember(id, *ending);
  co_return found;
}

std::string Users::impossible(const wire::JobSpec& spec) const {
  const auto* team = services_.settings.team(spec.team);
  if (team == nullptr) return "unknown team";
  const bool fits = std::any_of(types_.begin(), types_.end(), [&](const wire::MachineType& t) {
    const bool named = spec.types.empty() ||
                       std::find(spec.types.begin(), spec.types.end(), t.name) != spec.types.end();
    const bool in_zone =
        spec.zone.empty() || std::find(t.zones.begin(), t.zones.end(), spec.zone) != t.zones.end();
    return named && in_zone && spec.room.fits_in(t.room);
  });
  if (!fits) return "no allowed machine type has room for a task";
  const wire::Room all =
      spec.shape == wire::Shape::array ? spec.room : spec.room * static_cast<double>(spec.tasks);
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

Task<Response> Users::submit(std::string body) {
  auto submission = parse_submission(body);
  body = std::string();  // its memory too
  if (!submission.is_object)
    co_return plain_answer(400, wire::error_answer("expected a JSON object"));
  auto& parsed = submission.spec;
  const auto& id = submission.id;
  if (!id) co_return plain_answer(400, wire::error_answer(std::get<std::string>(parsed)));
  const auto known = [&](const Found& found) {
    const auto state = found.kind == Found::Kind::ended ? found.ending.state : state_of(found.job);
    return plain_answer(200, wire::job_answer(*id, state));
  };
  const bool malformed = std::holds_alternative<std::string>(parsed);
  // As they are known now: they may be learnt while what is stored is looked up, and a refusal that
  // rests on nothing would be final.
  const bool types_known = !types_.empty();
  const std::string reason =
      malformed || !types_known ? "" : impossible(std::get<wire::JobSpec>(parsed));
  if (malformed || !reason.empty() || !types_known) {
    // A repeat of an accepted job is answered with its state, whatever it says now.
    auto looking = look_up(*id);
    const auto found = co_await looking;
    if (found.kind == Found::Kind::unclear)
      co_return come_back("the state service does not answer");
    if (found.kind != Found::Kind::absent) co_return known(found);
    if (malformed) co_return plain_answer(400, wire::error_answer(std::get<std::string>(parsed)));
    if (!types_known) co_return come_back("the machine types are not known yet");
    co_return plain_answer(422, wire::error_answer(reason));
  }
  if (const auto it = ended_.find(*id); it != ended_.end()) {
    co_return plain_answer(200, wire::job_answer(*id, it->second.state));
  }
  if (!state_reached_()) co_return come_back("the state service does not answer");
  sched::Job job;
  job.spec = std::move(std::get<wire::JobSpec>(parsed));
  job.created_ms = services_.reactor.wall_ms();
  const auto texts = write_record(job, services_.store.value_bytes());
  if (texts[0].size() > services_.store.value_bytes()) {
    co_return plain_answer(400, wire::error_answer("the description is too long"));
  }
  std::vector<wire::Condition> conditions{{job_key(*id), 0}, {ended_key(*id), 0}};
  std::vector<wire::Change> changes{{job_key(*id), texts[0], 0}};
  auto creating = services_.store.transact(std::move(conditions), std::move(changes), kUserTimeout);
  const auto created = co_await creating;
  if (created.outcome == Outcome::ok) {
    co_return plain_answer(201, wire::job_answer(*id, JobState::queued));
  }
  if (created.outcome == Outcome::refused)
    co_return come_back("the state service is not available");
  // Known already, or unanswered: what is stored tells.
  auto looking = look_up(*id);
  const auto found = co_await looking;
  if (found.kind == Found::Kind::live || found.kind == Found::Kind::ended) co_return known(found);
  co_return come_back("the state service does not answer");
}

Task<Response> Users::status(std::string id) {
  const auto no_such = [] { return plain_answer(404, wire::error_answer("no such job")); };
  if (!wire::valid_job_id(id)) co_return no_such();
  auto looking = look_up(id);
  const auto found = co_await looking;
  switch (found.kind) {
    case Found::Kind::live:
      co_return plain_answer(200, wire::job_status(id, state_of(found.job), found.job.done.size(),
                                                   found.job.places.size()));
    case Found::Kind::ended:
      co_return plain_answer(200, wire::job_status(id, found.ending.state, found.ending.tasks, 0));
    case Found::Kind::absent:
      co_return no_such();
    default:
      co_return come_back("the state service does not answer");
  }
}

Task<Response> Users::withdraw(std::string id) {
  if (!wire::valid_job_id(id)) co_return plain_answer(404, wire::error_answer("no such job"));
  const double until = services_.reactor.now() + 2 * kUserTimeout;
  while (services_.reactor.now() < until) {
    auto looking = look_up(id);
    auto found = co_await looking;
    if (found.kind == Found::Kind::unclear) break;
    if (found.kind == Found::Kind::absent) {
      co_return plain_answer(404, wire::error_answer("no such job"));
    }
    if (found.kind == Found::Kind::ended) {
      co_return plain_answer(200, wire::job_answer(id, found.ending.state));
    }
    if (found.job.withdrawn()) {
      co_return plain_answer(200, wire::job_answer(id, JobState::withdrawn));
    }
    // Only the mark is set, so that the parts of a long record stay as they are.
    const std::string mark = "\"w\":0";
    const auto at = found.text.rfind(mark);
    if (at == std::string::npos) break;
    std::string text = found.text;
    text.replace(at, mark.size(), "\"w\":" + std::to_string(services_.reactor.wall_ms()));
    std::vector<wire::Condition> conditions{{job_key(id), found.job.revision}};
    std::vector<wire::Change> changes{{job_key(id), std::move(text), 0}};
    auto writing =
        services_.store.transact(std::move(conditions), std::move(changes), kUserTimeout);
    const auto written = co_await writing;
    if (written.outcome == Outcome::ok) {
      co_return plain_answer(200, wire::job_answer(id, JobState::withdrawn));
    }
    if (written.outcome == Outcome::refused) break;
    // The record changed meanwhile, or no answer came: look again.
  }
  co_return come_back("the state service does not answer");
}

}  // namespace cranklock::control
