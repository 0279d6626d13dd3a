#include "control/term.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/deputy.hpp"
#include "control/record.hpp"

namespace cranklock::control {

using net::Response;
using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;
using store::Outcome;

namespace {
constexpr double kStoreTimeout = 2.0;
constexpr double kPassEvery = 0.05;   ///< placement passes come no closer than this
constexpr double kRestAfterPass = 5;  ///< nor than so many times what the last one took
constexpr std::size_t kTxnBytes = std::size_t{60} * 1024;
}  // namespace

Term::Term(Services services, Office& office, net::Signal& lost)
    : services_(services),
      office_(office),
      lost_(lost),
      picture_(services.settings, office.token(), services.reactor.now()),
      work_(services.reactor),
      deletions_(services.reactor),
      began_(services.reactor.now()),
      last_heard_(began_) {}

void Term::lose(const char* why) {
  if (is_lost_) return;
  is_lost_ = true;
  spdlog::info("office lost, token {}: {}", office_.token(), why);
  lost_.set();
}

bool Term::deaf() const {
  const auto& s = services_.settings;
  const double span = std::max(3 * s.report_s, s.lease_s / 3);
  return now() > last_heard_ + span;
}

// ---- take-over ----

Task<bool> Term::read_parts(Job& job, std::uint64_t revision, int parts) {
  for (int i = 0; i < parts; ++i) {
    auto reading = services_.store.read(part_key(job.spec.id, i), kStoreTimeout);
    const auto part = co_await reading;
    if (part.outcome != Outcome::ok || part.value.revision != revision ||
        !read_part(part.value.data, job)) {
      co_return false;
    }
  }
  co_return true;
}

Task<bool> Term::load() {
  auto reading_types = services_.store.read(kTypesKey, kStoreTimeout);
  const auto types = co_await reading_types;
  if (types.outcome == Outcome::ok) {
    if (auto parsed = wire::parse_machine_types(types.value.data)) {
      picture_.set_types(std::move(*parsed));
    }
  } else if (types.outcome != Outcome::failed) {
    co_return false;
  }
  auto reading_pools = services_.store.read_all(kPoolsPrefix, kStoreTimeout);
  const auto pools = co_await reading_pools;
  if (pools.outcome != Outcome::ok) co_return false;
  first_ever_ = pools.page.items.empty();
  for (const auto& item : pools.page.items) {
    const wire::JsonDocument document(item.data);
    const auto name = item.key.substr(std::string(kPoolsPrefix).size());
    auto& pool =
        pools_.try_emplace(name, sched::Pool(services_.settings.operators.scaler)).first->second;
    pool.state.count = static_cast<int>(wire::read_amount(document.root(), "count").value_or(0));
    pool.state.scaled_ms =
        static_cast<std::int64_t>(wire::read_amount(document.root(), "scaled").value_or(0));
    pool_revisions_[name] = item.revision;
  }
  auto reading_jobs = services_.store.read_all(kJobsPrefix, kStoreTimeout);
  auto jobs = co_await reading_jobs;
  if (jobs.outcome != Outcome::ok) co_return false;
  loaded_revision_ = jobs.page.revision;
  for (const auto& item : jobs.page.items) {
    int parts = 0;
    auto job = read_record(item.data, parts);
    if (!job) {
      spdlog::error("record {} is malformed and left alone", item.key);
      continue;
    }
    job->revision = item.revision;
    if (parts > 0) {
      auto reading = read_parts(*job, item.revision, parts);
      if (!co_await reading) {
        // It changed while it was read: read it again by itself.
        auto reloading = reload(job->spec.id);
        if (!co_await reloading) co_return false;
        continue;
      }
    }
    picture_.put_job(std::move(*job), now());
  }
  co_return true;
}

void Term::start(net::Scope& scope) {
  scope.spawn(decide());
  scope.spawn(follow_jobs());
  scope.spawn(follow_cloud());
  scope.spawn(follow_types());
  scope.spawn(scale());
  scope.spawn(keep_house());
  scope.spawn(delete_machines());
  scope.spawn(make_known());
}

// ---- reports ----

Response Term::checkin(const wire::Report& report) {
  Response response;
  const double at = now();
  if (report.token > office_.token()) {
    lose("a worker has seen a higher token");
    response.status = 421;
    response.body = wire::misdirected_answer("");
    return response;
  }
  // Judged now, at the moment of answering: the process may have been held up.
  if (is_lost_ || !office_.may_answer(at) || deleted_.contains(report.machine)) {
    response.status = 503;
    return response;
  }
  const auto* before = picture_.machine(report.machine);
  const bool was_quarantined = before != nullptr && before->quarantined;
  const auto freshness = picture_.apply_report(report, true, at);
  if (!was_quarantined && picture_.machine(report.machine)->quarantined) {
    spdlog::info("machine {} is quarantined: it fails what it starts", report.machine);
  }
  if (freshness == sched::Picture::Freshness::late_copy) {
    response.status = 503;  // renews nothing
    return response;
  }
  last_heard_ = at;
  if (spdlog::should_log(spdlog::level::debug)) {
    for (const auto& t : report.tasks) {
      Job* job = picture_.job(t.task.job);
      const auto* p = job != nullptr ? job->find(t.task.index, t.attempt) : nullptr;
      if (p == nullptr || p->running_since != at) continue;
      spdlog::debug("{} of {} runs on {}: {:.1f} s after its decision, {:.1f} s known",
                    wire::to_string(t.task), job->spec.job_class, report.machine,
                    at - p->decided_at, at - job->known_since);
    }
  }
  std::vector<wire::Order> orders;
  if (freshness == sched::Picture::Freshness::fresh) {
    orders = picture_.orders(report, office_.certain(at), at);
  }
  picture_.note_answered(report.machine, at);
  response.body = wire::orders_answer(office_.token(), orders);
  work_.set();
  return response;
}

peer::CarriedAnswer Term::carried_checkin(const wire::Report& report, const std::string& deputy,
                                          std::uint64_t id) {
  const auto response = checkin(report);
  peer::CarriedAnswer answer{id, static_cast<std::uint16_t>(response.status), office_.token(), 0,
                             response.body};
  Machine* m = picture_.machine(report.machine);
  if (response.status != 200 || m == nullptr || response.body.size() > peer::kMostText) {
    if (response.status == 200) answer.status = 503;
    return answer;
  }
  // Nothing is prolonged alone that a stop may not have reached yet, be it this very answer.
  const double until = office_.answer_until();
  const auto& others = services_.settings.others;
  const bool own_zone = std::any_of(others.begin(), others.end(), [&](const base::Peer& peer) {
    return peer.name == deputy && peer.zone == m->kind.zone;
  });
  if (own_zone && until > now() && !picture_.stopping(*m)) {
    answer.stand_in_ms = static_cast<std::uint32_t>((until - now()) * 1000);
    auto& kept = m->kept_until[deputy];
    kept = std::max(kept, until);
  }
  return answer;
}

void Term::heard(const peer::Hello& hello) {
  const bool ours = hello.echo_token == office_.token();
  const double never = -1;
  picture_.note_deputy(
      hello.name, hello.run,
      ours ? static_cast<double>(hello.echo_ms) / 1000 + Deputy::patience(services_.settings) * 0.98
           : 0,
      hello.stood_in_ms == peer::kNever ? never : now() - hello.stood_in_ms / 1000.0, now());
}

bool Term::may_hand_over(const std::string& id, const std::string& deputy) {
  Machine* m = picture_.machine(id);
  const double at = now();
  if (m == nullptr || !m->shown_token || !picture_.deputy_heard(deputy, at)) return false;
  // Once in a while only: a worker that comes back has found its deputy wanting.
  if (m->handed_over > 0 && at - m->handed_over < 2 * services_.settings.lease_s) return false;
  m->handed_over = at;
  return true;
}

// ---- news of jobs ----

Task<void> Term::follow_jobs() {
  std::uint64_t since = loaded_revision_;
  const double wait = services_.settings.lease_s;
  int unclear = 0;  // answers in a row
  for (;;) {
    auto watching = services_.store.watch(kJobsPrefix, since, wait);
    auto result = co_await watching;
    if (result.outcome == Outcome::ok) {
      since = std::max(since, result.page.revision);
      for (auto& item : result.page.items) news_.push_back(std::move(item));
      if (!result.page.items.empty()) work_.set();
      continue;
    }
    // Guards against an answer that is too long to be read, and so would be asked for for ever.
    unclear = result.outcome == Outcome::unknown ? unclear + 1 : 0;
    if (result.outcome == Outcome::failed || unclear >= 3) {
      // Too far behind: read everything again, as news.
      auto reading = services_.store.read_all(kJobsPrefix, kStoreTimeout);
      auto all = co_await reading;
      if (all.outcome == Outcome::ok) {
        since = all.page.revision;
        for (auto& item : all.page.items) news_.push_back(std::move(item));
        work_.set();
        continue;
      }
    }
    Sleep pause(services_.reactor, services_.settings.report_s / 4);
    co_await pause;
  }
}

void Term::take_news() {
  // Only between transactions of our own, so that a record is never compared with one in flight.
  while (!news_.empty()) {
    auto item = std::move(news_.front());
    news_.pop_front();
    const auto id = item.key.substr(std::string(kJobsPrefix).size());
    Job* known = picture_.job(id);
    if (known != nullptr && item.revision <= known->revision) continue;
    if (item.data.empty()) {
      if (known != nullptr) picture_.drop_job(id);
      continue;
    }
    int parts = 0;
    auto job = read_record(item.data, parts);
    if (!job) {
      spdlog::error("record {} is malformed and left alone", item.key);
      continue;
    }
    if (parts > 0) {
      to_reload_.insert(id);
      continue;
    }
    job->revision = item.revision;
    if (known == nullptr) {
      spdlog::info("job {} accepted: {} of team {}, {} tasks", id, job->spec.job_class,
                   job->spec.team, job->spec.tasks);
    } else if (job->withdrawn() && !known->withdrawn()) {
      spdlog::info("job {} cancelled by its user", id);
    }
    picture_.put_job(std::move(*job), now());
  }
}

Task<bool> Term::reload(std::string id) {
  for (int tries = 0; tries < 3; ++tries) {
    auto reading = services_.store.read(job_key(id), kStoreTimeout);
    const auto found = co_await reading;
    if (found.outcome == Outcome::failed) {
      picture_.drop_job(id);
      co_return true;
    }
    if (found.outcome != Outcome::ok) co_return false;
    int parts = 0;
    auto job = read_record(found.value.data, parts);
    if (!job) co_return false;
    job->revision = found.value.revision;
    auto reading_parts = read_parts(*job, found.value.revision, parts);
    if (!co_await reading_parts) continue;
    picture_.put_job(std::move(*job), now());
    co_return true;
  }
  co_return false;
}

// ---- decisions ----

Task<void> Term::decide() {
  double last_pass = 0, rest_until = 0;
  for (;;) {
    net::Signal::Wait wait(work_, services_.settings.report_s / 2);
    co_await wait;
    if (now() < rest_until) {
      Sleep pause(services_.reactor, rest_until - now());
      co_await pause;
    }
    if (is_lost_) co_return;
    take_news();
    while (!to_reload_.empty()) {
      const std::string id = *to_reload_.begin();
      auto reloading = reload(id);
      if (!co_await reloading) break;
      to_reload_.erase(id);
    }
    const bool overdue = now() - last_pass > services_.settings.report_s;
    if (!picture_.types().empty() && (picture_.take_changed() || overdue)) {
      last_pass = now();
      auto result = sched::place_waiting(picture_, refused_until_, last_pass);
      if (result.cut_short) picture_.mark_changed();
      if (shortfall_.wanted.empty() && !result.shortfall.wanted.empty()) {
        const auto& [kind, count] = *result.shortfall.wanted.begin();
        spdlog::info("work finds no place: {} more {} wanted in {}{}", count, kind.type, kind.zone,
                     kind.spot ? ", spot" : "");
      }
      // Guards reports, users and the renewal of office against a fleet so large, or a processor so
      // slow, that passes would fill the time.
      rest_until = last_pass + std::max(kPassEvery, kRestAfterPass * (now() - last_pass));
      if (!result.cut_short) shortfall_ = std::move(result.shortfall);
      if (result.placed > 0 || result.stopped > 0) {
        spdlog::debug("placed {} tasks, stopping {}", result.placed, result.stopped);
      }
    }
    auto writing = write_jobs();
    co_await writing;
    push_orders();
  }
}

struct Term::Batch {
  struct Entry {
    std::string id;
    std::uint64_t revision;
    bool retire;
    int parts;
    wire::JobState ending;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> live, ended;
  };
  std::vector<wire::Condition> conditions;
  std::vector<wire::Change> changes;
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  bool full = false;
};

void Term::add_to_batch(Job& job, Batch& batch) {
  const auto& id = job.spec.id;
  Batch::Entry entry{id, job.revision, false, 0, wire::JobState::done, {}, {}};
  std::vector<wire::Change> changes;
  const bool over = job.withdrawn() ? job.live() == 0 : job.complete();
  if (over) {
    entry.retire = true;
    entry.ending = job.withdrawn() ? wire::JobState::withdrawn : wire::JobState::done;
    changes.push_back({job_key(id), "", 0});
    changes.push_back({ended_key(id), write_ending({entry.ending, job.done.size()}), 0});
    for (int i = 0; i < job.stored_parts; ++i) changes.push_back({part_key(id, i), "", 0});
  } else {
    auto texts = write_record(job, services_.store.value_bytes());
    entry.parts = static_cast<int>(texts.size()) - 1;
    changes.push_back({job_key(id), std::move(texts[0]), 0});
    for (int i = 0; i < std::max(entry.parts, job.stored_parts); ++i) {
      changes.push_back({part_key(id, i),
                         i < entry.parts ? std::move(texts[static_cast<std::size_t>(i) + 1]) : "",
                         0});
    }
  }
  std::size_t bytes = 100;
  for (const auto& c : changes) bytes += c.data.size() + c.key.size() + 40;
  if (batch.changes.size() + changes.size() > services_.store.txn_changes() ||
      batch.bytes + bytes > kTxnBytes) {
    batch.full = true;
    return;
  }
  for (const auto& p : job.places) {
    (p.ended ? entry.ended : entry.live).emplace_back(p.task, p.attempt);
  }
  batch.bytes += bytes;
  batch.conditions.push_back({job_key(id), job.revision});
  for (auto& c : changes) batch.changes.push_back(std::move(c));
  batch.entries.push_back(std::move(entry));
  job.dirty = false;
}

Task<void> Term::write_jobs() {
  for (;;) {
    // Starts wait for their write, so jobs with new places go first.
    std::vector<Job*> dirty;
    for (auto& [id, job] : picture_.jobs()) {
      if (job.withdrawn() && job.live() == 0) job.dirty = true;
      if (job.dirty) dirty.push_back(&job);
    }
    if (dirty.empty() || is_lost_) co_return;
    std::stable_partition(dirty.begin(), dirty.end(), [](const Job* job) {
      return std::any_of(job->places.begin(), job->places.end(),
                         [](const sched::Place& p) { return !p.durable && !p.ended; });
    });
    Batch batch;
    batch.conditions.push_back({kLeaderKey, office_.token()});
    for (Job* job : dirty) {
      if (!batch.full) add_to_batch(*job, batch);
    }
    if (batch.entries.empty()) co_return;
    auto writing = services_.store.transact(batch.conditions, batch.changes, kStoreTimeout);
    const auto result = co_await writing;
    if (result.outcome == Outcome::ok) {
      settle_written(batch, result.revision);
      push_orders();
      continue;
    }
    if (result.outcome == Outcome::failed &&
        std::find(result.failed.begin(), result.failed.end(), kLeaderKey) != result.failed.end()) {
      lose("the leader's key has changed");
      co_return;
    }
    auto settling = settle_unknown(batch, result.outcome == Outcome::refused);
    co_await settling;
    co_return;
  }
}

void Term::settle_written(Batch& batch, std::uint64_t revision) {
  for (auto& entry : batch.entries) {
    Job* job = picture_.job(entry.id);
    if (job == nullptr) continue;
    if (entry.retire) {
      spdlog::info("job {} ended: {}", entry.id,
                   entry.ending == wire::JobState::done ? "done" : "cancelled");
      picture_.drop_job(entry.id);
      continue;
    }
    job->revision = revision;
    job->stored_parts = entry.parts;
    for (const auto& [task, attempt] : entry.live) {
      if (auto* p = job->find(task, attempt)) p->durable = true;
    }
    picture_.forget_ended(*job, entry.ended);
  }
}

Task<void> Term::settle_unknown(Batch& batch, bool retry_same) {
  // Refused for certain, and nothing of it is stored: written again as it then stands. Otherwise it
  // may be applied late; what is stored now is read, and the next conditional write decides.
  if (retry_same) {
    for (const auto& entry : batch.entries) {
      if (Job* job = picture_.job(entry.id)) job->dirty = true;
    }
    Sleep pause(services_.reactor, services_.settings.report_s / 8);
    co_await pause;
    co_return;
  }
  for (const auto& entry : batch.entries) {
    for (;;) {
      auto reloading = reload(entry.id);
      if (co_await reloading) break;
      if (is_lost_) co_return;
      Sleep pause(services_.reactor, services_.settings.report_s / 4);
      co_await pause;
    }
  }
}

// ---- orders sent straight to workers ----

namespace {
bool start_due(const Job& job, const sched::Place& p) {
  return !job.withdrawn() && p.durable && !p.ended && !p.stop && !p.seen &&
         p.carried_session == 0 && p.doubtful_session == 0;
}

bool stop_due(const Job& job, const sched::Place& p) {
  return (p.stop || job.withdrawn()) && p.seen && !p.ended && !p.stop_sent;
}
}  // namespace

void Term::push_orders() {
  const double at = now();
  if (!office_.certain(at)) return;
  std::set<std::string> machines;
  for (const auto& [id, job] : picture_.jobs()) {
    for (const auto& p : job.places) {
      if (start_due(job, p) || stop_due(job, p)) machines.insert(p.machine);
    }
  }
  for (const auto& id : machines) {
    const Machine* m = picture_.machine(id);
    if (m == nullptr || !m->reported || m->silent || m->removing || m->address.empty()) continue;
    // A worker not heard of lately would only leave starts in doubt.
    if (at - m->last_report > 2 * services_.settings.report_s) continue;
    if (pushing_.size() >= most_calls()) return;
    if (pushing_.insert(id).second) scope_.spawn(push_to(id));
  }
}

Task<void> Term::push_to(std::string id) {
  Machine* m = picture_.machine(id);
  std::vector<wire::Order> orders;
  const std::uint64_t session = m->session;
  for (const auto& held : m->tasks) {
    const Job& job = *held.job;
    sched::Place& p = held.place();
    const wire::TaskName task{job.spec.id, p.task};
    if (start_due(job, p)) {
      orders.push_back({wire::Verb::start, task, p.attempt, 0});
      // In doubt from the moment of sending until answered.
      p.doubtful_session = session;
      m->doubtful.insert({task, p.attempt});
    } else if (stop_due(job, p)) {
      orders.push_back({wire::Verb::stop, task, p.attempt, job.withdrawn() ? 0 : p.grace_s});
      p.stop_sent = true;
    }
  }
  if (orders.empty()) {
    pushing_.erase(id);
    co_return;
  }
  net::Request request{"POST", "/commands", "",
                       wire::orders_command(office_.token(), session, orders), true};
  auto calling =
      services_.transport.call(m->address, std::move(request), services_.settings.report_s);
  const auto reply = co_await calling;
  pushing_.erase(id);
  if (reply.kind != net::Reply::Kind::not_sent && reply.status() != 200 && reply.status() != 409) {
    spdlog::debug("starts sent to {} are in doubt", id);
    co_return;
  }
  const auto report = reply.answered() ? wire::parse_report(reply.response.body) : std::nullopt;
  if (reply.answered() && (!report || report->machine != id)) co_return;  // tells nothing
  m = picture_.machine(id);
  if (m == nullptr) co_return;
  for (const auto& order : orders) {
    if (order.verb != wire::Verb::start) continue;
    if (m->session == session) m->doubtful.erase({order.task, order.attempt});
    Job* job = picture_.job(order.task.job);
    auto* p = job != nullptr ? job->find(order.task.index, order.attempt) : nullptr;
    if (p == nullptr) continue;
    p->doubtful_session = 0;
    if (reply.status() == 200) {
      p->carried_session = std::max(p->carried_session, report->session);
      p->carried_tick = std::max(p->carried_tick, report->tick);
    }
  }
  if (!report) co_return;
  if (report->token > office_.token()) {
    lose("a worker has seen a higher token");
    co_return;
  }
  picture_.apply_report(*report, false, now());
  work_.set();
}

// A worker that reports to a former leader, or to nobody, is told of our token straight away: from
// then on it drops the former leader's answers, and its lease is ours to time.
Task<void> Term::make_known() {
  const auto& s = services_.settings;
  for (;;) {
    Sleep pause(services_.reactor, s.report_s / 2);
    co_await pause;
    const double at = now();
    if (at - began_ < 1.5 * s.report_s) continue;  // most come by themselves
    std::vector<std::string> due;
    std::erase_if(called_,
                  [&](const auto& call) { return picture_.machine(call.first) == nullptr; });
    for (const auto& [id, m] : picture_.machines()) {
      if (m.shown_token || m.removing || m.failed || m.address.empty() || !m.listed) continue;
      if (m.booting || at - m.last_report < 2 * s.report_s) continue;
      const auto last = called_.find(id);
      if (last != called_.end() && at - last->second < s.lease_s / 3) continue;
      due.push_back(id);
    }
    for (const auto& id : due) {
      if (pushing_.size() >= most_calls() / 2) break;
      called_[id] = at;
      if (pushing_.insert(id).second) scope_.spawn(call_worker(id));
    }
  }
}

Task<void> Term::call_worker(std::string id) {
  std::uint64_t session = 1;
  for (int tries = 0; tries < 2; ++tries) {
    const Machine* m = picture_.machine(id);
    if (m == nullptr || !office_.certain(now())) break;
    if (m->session != 0) session = m->session;
    net::Request request{"POST", "/commands", "",
                         wire::orders_command(office_.token(), session, {}), true};
    auto calling =
        services_.transport.call(m->address, std::move(request), services_.settings.report_s);
    const auto reply = co_await calling;
    if (reply.status() != 200 && reply.status() != 409) break;
    const auto report = wire::parse_report(reply.response.body);
    if (!report || report->machine != id || deleted_.contains(id)) break;
    if (report->token > office_.token()) {
      lose("a worker has seen a higher token");
      break;
    }
    last_heard_ = now();
    picture_.apply_report(*report, false, now());
    work_.set();
    if (reply.status() == 200 || report->session == session) break;
    session = report->session;  // it was told under the wrong session: once more
  }
  pushing_.erase(id);
}

// ---- machines ----

Task<void> Term::follow_types() {
  for (;;) {
    auto asking = services_.cloud.types();
    auto types = co_await asking;
    if (types && !types->empty()) {
      picture_.set_types(std::move(*types));
      picture_.mark_changed();
      work_.set();
    }
    const bool known = !picture_.types().empty();
    Sleep pause(services_.reactor, known ? 2 * services_.settings.list_lag_s : 1.0);
    co_await pause;
  }
}

Task<void> Term::follow_cloud() {
  const double every = std::max(services_.settings.list_lag_s / 4, 1.0);
  for (;;) {
    auto asking = services_.cloud.list();
    const auto machines = co_await asking;
    const double at = now();
    if (machines) {
      for (const auto& item : *machines) {
        if (deleted_.contains(item.id)) continue;
        auto& m = picture_.put_machine(item.id, {item.type, item.zone, item.spot}, at);
        m.listed = true;
        m.last_listed = at;
        m.rented_at = std::min(m.rented_at, at - item.age_s);
        if (m.address.empty()) m.address = item.address;
        if (item.state == wire::MachineState::failed) m.failed = true;
        m.booting = item.state == wire::MachineState::booting;
      }
    }
    Sleep pause(services_.reactor, every);
    co_await pause;
  }
}

void Term::give_back(Machine& m, const char* why) {
  if (m.removing) return;
  m.removing = true;
  spdlog::info("machine {} ({} in {}{}) is given back: {}", m.id, m.kind.type, m.kind.zone,
               m.kind.spot ? ", spot" : "", why);
  picture_.mark_changed();
  deletions_.set();
}

Task<void> Term::delete_machines() {
  constexpr std::size_t kMost = 100;
  for (;;) {
    net::Signal::Wait wait(deletions_, services_.settings.report_s);
    co_await wait;
    std::vector<std::string> names;
    for (const auto& [id, m] : picture_.machines()) {
      if (m.removing && names.size() < kMost) names.push_back(id);
    }
    if (names.empty() || !office_.certain(now())) continue;
    auto removing = services_.cloud.remove(names);
    if (!co_await removing) {
      Sleep pause(services_.reactor, services_.settings.report_s / 2);
      co_await pause;
      continue;
    }
    note_deleted(names);
    for (const auto& name : names) picture_.remove_machine(name, now());
    work_.set();
    if (names.size() == kMost) deletions_.set();  // there may be more
  }
}

void Term::note_deleted(const std::vector<std::string>& names) {
  const auto& s = services_.settings;
  const double kept = 20 * std::max(s.list_lag_s, s.lease_s);
  std::erase_if(deleted_, [&](const auto& entry) { return entry.second < now() - kept; });
  for (const auto& name : names) deleted_[name] = now();
}

void Term::watch_machine(Machine& m, const std::map<std::string, sched::ZoneWorkers>& zones,
                         double at) {
  const auto& s = services_.settings;
  const auto* type = picture_.type(m.kind.type);
  const double ready_s = type != nullptr ? type->ready_s : s.lease_s;
  if (m.failed) return give_back(m, "it has stopped on its own");
  if (!m.reported) {
    // A list alone proves nothing; a machine that has not reported for several boot times, to a
    // leader who has been there for long enough, does no work.
    const double patience = s.operators.boot_patience * ready_s;
    // Nor has one that its zone's cut keeps from reporting failed to come up.
    if (at - m.rented_at > patience && at - began_ > s.lease_s * 2 && at > m.excused_until) {
      give_back(m, "it never came up");
    }
    return;
  }
  if (m.silent && at - m.last_answered > 2 * s.lease_s && at > m.excused_until) {
    return give_back(m, "it is silent");
  }
  // Its deletion proves what its lease would prove only later: its work starts elsewhere the
  // sooner.
  if (sched::surely_taken(picture_, m, zones, at)) return give_back(m, "it is taken");
  if (m.quarantined && m.idle()) return give_back(m, "it fails what it starts");
  if (!m.taken_at) return;
  // Its work moves while it still runs: what saves is told to save.
  for (const auto& held : m.tasks) {
    const auto& spec = held.job->spec;
    if (spec.checkpoint_s > 0 && *m.taken_at - at < 2 * spec.save_s + 3 * s.report_s) {
      sched::Picture::request_stop(held.place(), spec.save_s, at);
    }
  }
}

Task<void> Term::keep_house() {
  const auto& s = services_.settings;
  for (;;) {
    Sleep pause(services_.reactor, s.report_s / 3);
    co_await pause;
    const double at = now();
    for (const auto& id : picture_.expire_leases(at)) {
      spdlog::info("machine {} is silent, its lease is over", id);
      work_.set();
    }
    for (const auto& zone : picture_.watch_zones(at)) {
      spdlog::info("zone {} is dark: none of its workers is heard", zone);
      work_.set();
    }
    const auto zones = sched::count_workers(picture_, at);
    for (auto& [id, m] : picture_.machines()) {
      if (!m.removing) watch_machine(m, zones, at);
    }
    // A machine that lost its list entry, is silent and holds nothing is forgotten.
    std::vector<std::string> gone;
    std::vector<std::pair<std::string, sched::MachineKind>> unknown;
    for (auto& [id, job] : picture_.jobs()) {
      for (const auto& p : job.places) {
        if (p.ended) continue;
        Machine* m = picture_.machine(p.machine);
        if (m == nullptr) {
          if (at - began_ > 2 * s.list_lag_s + s.lease_s) unknown.push_back({p.machine, {}});
        } else if (job.withdrawn() && at - job.withdrawn_since > (s.cancel_s - s.report_s) / 2) {
          // The end of a cancelled task could not be confirmed in time.
          give_back(*m, "a cancelled task may still be on it");
        }
      }
    }
    // A record may name a machine that neither the list nor a report has shown: its deletion is
    // the only proof left.
    for (const auto& [name, kind] : unknown) {
      give_back(picture_.put_machine(name, kind, at), "nothing is known of it");
    }
    for (auto it = refused_until_.begin(); it != refused_until_.end();) {
      it = it->second < at ? refused_until_.erase(it) : std::next(it);
    }
  }
}

// ---- the scaler ----

Task<void> Term::scale() {
  const auto& figures = services_.settings.operators.scaler;
  for (;;) {
    Sleep pause(services_.reactor, figures.every_s);
    co_await pause;
    if (picture_.types().empty() || is_lost_) continue;
    const double at = now();
    const bool settled = first_ever_ || at - began_ >= figures.down_window_s;
    const auto readings = sched::read_pools(picture_, shortfall_, figures.high);
    std::vector<std::string> changed;
    for (const auto& [id, reading] : readings) {
      const std::string name = id.name();
      auto& pool = pools_.try_emplace(name, sched::Pool(figures)).first->second;
      const auto wall = services_.reactor.wall_ms();
      const auto before = pool.state;
      const int change = pool.decide(reading, settled, wall, at);
      spdlog::debug("pool {}: score {:.2f}, {} machines, {} wanted, change {}", name, reading.score,
                    reading.machines, reading.wanted, change);
      if (change > 0 && office_.certain(at)) {
        // Stamped now: a refused rental waits a cooldown like any other.
        pool.stamp(reading.machines + change, wall);
        spdlog::info("pool {} grows by {} from {}: score {:.2f}", name, change, reading.machines,
                     reading.score);
        grow(id, change);
      } else if (change < 0 && office_.certain(at)) {
        const int given = shrink(id, -change);
        if (given > 0) {
          pool.stamp(reading.machines - given, wall);
          spdlog::info("pool {} shrinks by {} from {}: score {:.2f}", name, given, reading.machines,
                       reading.score);
        }
      }
      if (!(pool.state == before)) changed.push_back(name);
    }
    for (const auto& name : changed) {
      auto writing = write_pool(name);
      co_await writing;
    }
  }
}

void Term::grow(const sched::PoolId& pool, int machines) {
  // What waits decides on the zone; what the step adds beyond that goes to the zone that has
  // fewest; a zone without a controller, which loses its work in a cut, gets half of a share.
  std::map<sched::MachineKind, int> plan;
  auto wanted = shortfall_.wanted;
  for (bool any = true; any && machines > 0;) {
    any = false;
    for (auto& [kind, n] : wanted) {
      if (sched::pool_of(kind) != pool || n == 0 || machines == 0) continue;
      --n, --machines, ++plan[kind];
      any = true;
    }
  }
  const auto* type = picture_.type(pool.type);
  const auto weight = [&](const std::string& zone) {
    return pool.spot || services_.settings.has_node(zone) ? 1 : 2;
  };
  std::map<std::string, int> zones;
  for (const auto& zone : type->zones) {
    if (!picture_.dark(zone)) zones[zone] = 0;
  }
  for (const auto& [id, m] : picture_.machines()) {
    if (sched::pool_of(m.kind) == pool && zones.contains(m.kind.zone)) {
      zones[m.kind.zone] += weight(m.kind.zone);
    }
  }
  for (; machines > 0 && !zones.empty(); --machines) {
    auto least = zones.end();
    for (auto it = zones.begin(); it != zones.end(); ++it) {
      const auto refused = refused_until_.find({pool.type, it->first, pool.spot});
      if (refused != refused_until_.end() && refused->second > now()) continue;
      if (least == zones.end() || it->second < least->second) least = it;
    }
    if (least == zones.end()) break;
    least->second += weight(least->first);
    ++plan[{pool.type, least->first, pool.spot}];
  }
  constexpr int kMostAtOnce = 50;
  for (const auto& [kind, n] : plan) {
    for (int left = n; left > 0; left -= kMostAtOnce) {
      scope_.spawn(rent(kind, std::min(left, kMostAtOnce)));
    }
  }
}

Task<void> Term::rent(sched::MachineKind kind, int count) {
  // The token makes the name unique among leaders, the sequence among our own.
  const std::string name =
      "r-" + std::to_string(office_.token()) + "-" + std::to_string(++rental_sequence_);
  const auto& figures = services_.settings.operators.scaler;
  for (;;) {
    if (!office_.certain(now())) co_return;
    auto renting = services_.cloud.rent({name, kind.type, kind.zone, kind.spot, count});
    const auto result = co_await renting;
    using Kind = cloud::RentResult::Kind;
    if (result.kind == Kind::rented) {
      for (const auto& id : result.machines) {
        if (!deleted_.contains(id)) picture_.put_machine(id, kind, now());
      }
      if (static_cast<int>(result.machines.size()) < count) {
        refused_until_[kind] = now() + figures.up_cooldown_s;
      }
      work_.set();
      co_return;
    }
    if (result.kind == Kind::no_capacity) {
      spdlog::info("no {} machine to be had in {}{}", kind.type, kind.zone,
                   kind.spot ? " as spot" : "");
      refused_until_[kind] = now() + figures.up_cooldown_s;
      picture_.mark_changed();
      co_return;
    }
    if (result.kind == Kind::refused) co_return;  // the next cooldown brings the next try
    // No answer: it may have rented. The same name asks again without renting twice.
    Sleep pause(services_.reactor, services_.settings.report_s);
    co_await pause;
  }
}

int Term::shrink(const sched::PoolId& pool, int machines) {
  std::vector<Machine*> idle;
  for (auto& [id, m] : picture_.machines()) {
    if (sched::pool_of(m.kind) == pool && sched::usable(picture_, m) && m.idle() &&
        now() - m.idle_since > services_.settings.report_s * 2) {
      idle.push_back(&m);
    }
  }
  std::sort(idle.begin(), idle.end(),
            [](const Machine* a, const Machine* b) { return a->idle_since < b->idle_since; });
  int given = 0;
  for (Machine* m : idle) {
    if (given == machines) break;
    give_back(*m, "nothing needs it");
    ++given;
  }
  return given;
}

Task<void> Term::write_pool(std::string name) {
  const auto& pool = pools_.at(name);
  wire::JsonWriter w;
  w.begin()
      .key("count")
      .integer(pool.state.count)
      .key("scaled")
      .integer(pool.state.scaled_ms)
      .end();
  const std::string key = kPoolsPrefix + name;
  std::vector<wire::Condition> conditions{{kLeaderKey, office_.token()},
                                          {key, pool_revisions_[name]}};
  std::vector<wire::Change> changes{{key, w.take(), 0}};
  auto writing = services_.store.transact(std::move(conditions), std::move(changes), kStoreTimeout);
  const auto result = co_await writing;
  if (result.outcome == Outcome::ok) {
    pool_revisions_[name] = result.revision;
  } else if (result.outcome != Outcome::refused) {
    auto reading = services_.store.read(key, kStoreTimeout);
    const auto found = co_await reading;
    if (found.outcome == Outcome::ok) pool_revisions_[name] = found.value.revision;
  }
}

}  // namespace cranklock::control
