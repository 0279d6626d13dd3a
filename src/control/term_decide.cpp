// The leader's decisions: placement passes, the records that make them durable, and the orders that
// carry them out.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/record.hpp"
#include "control/term.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::Job;
using sched::Machine;
using store::Outcome;

namespace {
constexpr double kPassEvery = 0.05;   ///< placement passes come no closer than this
constexpr double kRestAfterPass = 5;  ///< nor than so many times what the last one took
constexpr double kDoneLag = 3;        ///< PROTOCOL: users expect `done` so soon after the last task
constexpr std::size_t kTxnBytes = std::size_t{60} * 1024;
}  // namespace

// ---- decisions ----

Task<void> Term::decide() {
  double last_pass = 0;
  for (;;) {
    net::Signal::Wait wait(work_, services_.settings.report_s / 2);
    co_await wait;
    if (now() < next_pass_at_) {
      Sleep pause(services_.reactor, next_pass_at_ - now());
      co_await pause;
    }
    if (is_lost_) co_return;
    take_news();
    endings_.read_unknown();
    const bool overdue = now() - last_pass > services_.settings.report_s;
    if (!cluster_.types().empty() && (cluster_.take_changed() || overdue)) {
      last_pass = now();
      pass_awaited_ = false;
      auto result = sched::place_waiting(cluster_, refused_until_, last_pass);
      if (result.cut_short) cluster_.mark_changed();
      if (shortfall_.wanted.empty() && !result.shortfall.wanted.empty()) {
        const auto& [kind, count] = *result.shortfall.wanted.begin();
        spdlog::info("work finds no place: {} more {} wanted in {}{}", count, kind.type, kind.zone,
                     kind.spot ? ", spot" : "");
      }
      // Guards reports, users and the renewal of the leader lease against a fleet so large, or a
      // processor so slow, that passes would fill the time.
      next_pass_at_ = last_pass + std::max(kPassEvery, kRestAfterPass * (now() - last_pass));
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
    Ending ending;                        ///< of one that is retired
    std::vector<std::string> left_parts;  ///< of one that is retired, for which there was no room
    std::vector<std::pair<std::uint32_t, std::uint64_t>> live, ended, dropped;
  };
  std::vector<wire::Condition> conditions;
  std::vector<wire::Change> changes;
  std::vector<Entry> entries;
  std::vector<std::string> stale_parts;  ///< of jobs that are over, removed by the way
  std::size_t bytes = 0;
  bool full = false;
};

// Moves a job to its ending. Guards against a record of more parts than a transaction removes, as
// one stored before the limits fell: what is left is never read again and goes by and by.
std::vector<wire::Change> Term::retiring_changes(const Job& job, const Ending& ending,
                                                 std::vector<std::string>& left_parts) const {
  const auto& id = job.spec.id;
  std::vector<wire::Change> changes{{job_key(id), "", 0}, {ended_key(id), write_ending(ending), 0}};
  for (int i = 0; i < job.stored_parts; ++i) {
    if (changes.size() < services_.store.txn_changes()) {
      changes.push_back({part_key(id, i), "", 0});
    } else {
      left_parts.push_back(part_key(id, i));
    }
  }
  return changes;
}

void Term::add_stale_parts(Batch& batch) {
  while (!stale_parts_.empty() && batch.changes.size() < services_.store.txn_changes()) {
    batch.changes.push_back({stale_parts_.front(), "", 0});
    batch.stale_parts.push_back(std::move(stale_parts_.front()));
    stale_parts_.pop_front();
  }
}

void Term::add_to_batch(Job& job, Batch& batch) {
  const auto& id = job.spec.id;
  Batch::Entry entry{id, job.revision, false, 0, {}, {}, {}, {}, {}};
  std::vector<wire::Change> changes;
  const bool over = job.withdrawn() ? job.live() == 0 : job.complete();
  if (over) {
    entry.retire = true;
    entry.ending.state = job.withdrawn() ? wire::JobState::withdrawn : wire::JobState::done;
    entry.ending.tasks = job.done.size();
    // Kept only for those that wait for it, whose own times count from here.
    const bool needed = cluster_.dependencies().is_needed(id);
    if (needed) entry.ending.ended_ms = services_.reactor.wall_ms();
    changes = retiring_changes(job, entry.ending, entry.left_parts);
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
  std::size_t bytes = 100, longest = 0;
  for (const auto& c : changes) {
    bytes += c.data.size() + c.key.size() + 40;
    longest = std::max(longest, c.data.size());
  }
  const bool too_long = longest > services_.store.value_bytes();  // a description as it was stored
  if (too_long || batch.changes.size() + changes.size() > services_.store.txn_changes() ||
      batch.bytes + bytes > kTxnBytes) {
    // Guards against one record that fits no transaction, which must not hold up all others.
    batch.full = !too_long && !batch.entries.empty();
    if (!batch.full && !std::exchange(job.too_long, true)) {
      spdlog::error("the record of job {} fits no transaction: {} bytes", id, bytes);
    }
    return;
  }
  for (const auto& p : job.places) {
    auto& list = p.ended ? entry.ended : p.dropped ? entry.dropped : entry.live;
    list.emplace_back(p.task, p.attempt);
  }
  batch.bytes += bytes;
  batch.conditions.push_back({job_key(id), job.revision});
  for (auto& c : changes) batch.changes.push_back(std::move(c));
  batch.entries.push_back(std::move(entry));
  job.dirty = false;
  job.dirty_since = 0;
}

namespace {
/// How soon a record should be written.
enum class WriteClass {
  overdue,  ///< has waited for as long as it may
  starts,   ///< tasks of it, or of jobs that need it, can start only afterwards
  rest,
};

bool has_unwritten_starts(const Job& job) {
  return std::any_of(job.places.begin(), job.places.end(),
                     [](const sched::Place& p) { return !p.durable && !p.ended; });
}

/// Overdue records and starts in turn, so that neither waits for all of the other, then the rest.
std::vector<Job*> in_turn(const std::map<WriteClass, std::vector<Job*>>& classes) {
  const auto of = [&](WriteClass write_class) {
    const auto it = classes.find(write_class);
    return it == classes.end() ? std::vector<Job*>() : it->second;
  };
  const auto overdue = of(WriteClass::overdue), starts = of(WriteClass::starts);
  std::vector<Job*> out;
  for (std::size_t i = 0; i < std::max(overdue.size(), starts.size()); ++i) {
    if (i < overdue.size()) out.push_back(overdue[i]);
    if (i < starts.size()) out.push_back(starts[i]);
  }
  const auto rest = of(WriteClass::rest);
  out.insert(out.end(), rest.begin(), rest.end());
  return out;
}
}  // namespace

// The records to write, most urgent first. Guards against ends that wait behind starts for ever: a
// job may be called done late, but not by more than kDoneLag. Users are told of a cancellation as
// soon as it is confirmed, or found in a job that this one needs; the record of a cancelled job
// without tasks has more time, so that hundreds cancelled at once hold up nothing else.
std::vector<Job*> Term::jobs_to_write() {
  const double at = now();
  std::map<WriteClass, std::vector<Job*>> classes;
  for (auto& [id, job] : cluster_.jobs()) {
    const bool gone = job.withdrawn() && job.live() == 0;
    if (gone) job.dirty = true;
    if (!job.dirty || to_reload_.contains(id)) continue;
    if (job.dirty_since == 0) job.dirty_since = at;
    const double patience = gone ? services_.settings.cancel_s / 4 : kDoneLag / 3;
    const bool awaited = !gone && job.complete() && cluster_.dependencies().is_needed(id);
    WriteClass write_class = WriteClass::rest;
    if (has_unwritten_starts(job) || awaited) write_class = WriteClass::starts;
    if (at - job.dirty_since > patience) write_class = WriteClass::overdue;
    classes[write_class].push_back(&job);
  }
  auto& overdue = classes[WriteClass::overdue];
  std::stable_sort(overdue.begin(), overdue.end(),
                   [](const Job* a, const Job* b) { return a->dirty_since < b->dirty_since; });
  return in_turn(classes);
}

Term::Batch Term::next_batch() {
  Batch batch;
  batch.conditions.push_back({kLeaderKey, leader_lease_.token()});
  for (Job* job : jobs_to_write()) {
    if (batch.full) break;
    add_to_batch(*job, batch);
  }
  add_stale_parts(batch);
  return batch;
}

Task<void> Term::write_jobs() {
  for (;;) {
    if (is_lost_ || now() < write_after_) co_return;
    Batch batch = next_batch();
    if (batch.changes.empty()) co_return;
    auto writing = services_.store.transact(batch.conditions, batch.changes, kStoreTimeout);
    const auto result = co_await writing;
    if (result.outcome == Outcome::ok) {
      settle_written(batch, result.revision);
      push_orders();
      take_news();
      if (pass_awaited_ && now() >= next_pass_at_) {
        // Guards against new jobs, and next stages of pipelines, that wait for hundreds of other
        // records to be written.
        work_.set();
        co_return;
      }
      continue;
    }
    const auto& failed = result.failed;
    if (result.outcome == Outcome::failed &&
        std::find(failed.begin(), failed.end(), kLeaderKey) != failed.end()) {
      lose("the leader's key has changed");
      co_return;
    }
    settle_unwritten(batch, result);
    co_return;
  }
}

// What was refused, or failed for another record's sake, is written again as it then stands. So is
// what was not answered: it may be carried out late, but conditions let only one of the two
// through. Guards against room that is given to others meanwhile: were what is stored now taken for
// the last word, a team would be beyond its limit when the late write makes its places good.
void Term::settle_unwritten(const Batch& batch, const store::TxnResult& result) {
  stale_parts_.insert(stale_parts_.end(), batch.stale_parts.begin(), batch.stale_parts.end());
  for (const auto& entry : batch.entries) {
    const auto& failed = result.failed;
    const bool changed = result.outcome == Outcome::failed &&
                         (failed.empty() || std::find(failed.begin(), failed.end(),
                                                      job_key(entry.id)) != failed.end());
    if (changed) {
      to_reload_.insert(entry.id);
      continue;
    }
    Job* job = cluster_.job(entry.id);
    if (job == nullptr) continue;
    job->dirty = true;
    if (result.outcome != Outcome::unknown) continue;
    for (const auto& [task, attempt] : entry.live) {
      auto* p = job->find(task, attempt);
      if (p != nullptr && !p->durable && !p->ended) p->undecided = true;
    }
  }
  if (result.outcome != Outcome::failed) write_after_ = now() + services_.settings.report_s / 8;
  unsettled_.set();
}

void Term::settle_written(Batch& batch, std::uint64_t revision) {
  for (auto& entry : batch.entries) {
    Job* job = cluster_.job(entry.id);
    if (job == nullptr) continue;
    if (entry.retire) {
      stale_parts_.insert(stale_parts_.end(), entry.left_parts.begin(), entry.left_parts.end());
      note_retired(entry.id, entry.ending);
      continue;
    }
    job->revision = revision;
    job->stored_parts = entry.parts;
    for (const auto& [task, attempt] : entry.live) {
      auto* p = job->find(task, attempt);
      if (p == nullptr) continue;
      p->durable = true;
      if (p->undecided && p->dropped) {  // since it was sent
        cluster_.settle_dropped(*job, *p, now());
        job->dirty = true;
      }
      p->undecided = false;
    }
    for (const auto& which : entry.dropped) {
      auto* p = job->find(which.first, which.second);
      if (p == nullptr) continue;
      cluster_.settle_dropped(*job, *p, now());
      entry.ended.push_back(which);
    }
    cluster_.forget_ended(*job, entry.ended);
  }
}

// The write was answered: it is the ending's proof for the jobs that need this one.
void Term::note_retired(const std::string& id, const Ending& ending) {
  const Job& job = *cluster_.job(id);
  const bool done = ending.state == wire::JobState::done;
  spdlog::info("job {} ended: {}", id, done ? "done" : "cancelled");
  sched::Dependencies::Ending known;
  if (done) {
    known.outcome = sched::Dependencies::Outcome::done;
    known.at_ms = ending.ended_ms;
    pass_awaited_ = pass_awaited_ || cluster_.dependencies().is_needed(id);
  } else {
    known.outcome = sched::Dependencies::Outcome::cancelled;
    known.at_ms = job.withdrawn_ms;
    known.since = job.withdrawn_since;
  }
  cluster_.drop_job(id);
  cluster_.note_ending(id, known);
}

// ---- orders sent straight to workers ----

namespace {
/// What the leader lease is good for. What a user has cancelled is stopped even when it is in
/// doubt: no leader wants it to go on.
struct Allowed {
  bool start, stop;
};

bool start_due(const Job& job, const sched::Place& p, Allowed allowed) {
  return allowed.start && !job.withdrawn() && job.needs_met && p.durable && !p.ended && !p.stop &&
         !p.seen && p.carried_session == 0 && p.doubtful_session == 0;
}

bool stop_due(const Job& job, const sched::Place& p, Allowed allowed) {
  return ((p.stop && allowed.stop) || job.withdrawn()) && p.seen && !p.ended && !p.stop_sent;
}
}  // namespace

void Term::push_orders() {
  const double at = now();
  if (is_lost_) return;
  const Allowed allowed{leader_lease_.may_start(at), leader_lease_.valid(at)};
  std::set<std::string> machines;
  for (const auto& [id, job] : cluster_.jobs()) {
    for (const auto& p : job.places) {
      if (start_due(job, p, allowed) || stop_due(job, p, allowed)) machines.insert(p.machine);
    }
  }
  for (const auto& id : machines) {
    const Machine* m = cluster_.machine(id);
    if (m == nullptr || !m->reported || m->silent || m->removing || m->address.empty()) continue;
    // A worker not heard of lately would only leave starts in doubt.
    if (at - m->last_report > 2 * services_.settings.report_s) continue;
    if (pushing_.size() >= most_calls()) return;
    if (pushing_.insert(id).second) scope_.spawn(push_to(id));
  }
}

Task<void> Term::push_to(std::string id) {
  Machine* m = cluster_.machine(id);
  std::vector<wire::Order> orders;
  const std::uint64_t session = m->session;
  const Allowed allowed{leader_lease_.may_start(now()), leader_lease_.valid(now())};
  for (const auto& held : m->tasks) {
    const Job& job = *held.job;
    sched::Place& p = held.place();
    const wire::TaskName task{job.spec.id, p.task};
    if (start_due(job, p, allowed)) {
      orders.push_back({wire::Verb::start, task, p.attempt, 0});
      // In doubt from the moment of sending until answered.
      p.doubtful_session = session;
      m->doubtful.insert({task, p.attempt});
    } else if (stop_due(job, p, allowed)) {
      orders.push_back({wire::Verb::stop, task, p.attempt, job.withdrawn() ? 0 : p.grace_s});
      p.stop_sent = true;
    }
  }
  if (orders.empty()) {
    pushing_.erase(id);
    co_return;
  }
  net::Request request{"POST", "/commands", "",
                       wire::orders_command(leader_lease_.token(), session, orders), true};
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
  m = cluster_.machine(id);
  if (m == nullptr) co_return;
  for (const auto& order : orders) {
    if (order.verb != wire::Verb::start) continue;
    if (m->session == session) m->doubtful.erase({order.task, order.attempt});
    Job* job = cluster_.job(order.task.job);
    auto* p = job != nullptr ? job->find(order.task.index, order.attempt) : nullptr;
    if (p == nullptr) continue;
    p->doubtful_session = 0;
    if (reply.status() == 200) {
      p->carried_session = std::max(p->carried_session, report->session);
      p->carried_tick = std::max(p->carried_tick, report->tick);
    }
  }
  if (!report) co_return;
  if (report->token > leader_lease_.token()) {
    lose("a worker has seen a higher token");
    co_return;
  }
  cluster_.apply_report(*report, false, now());
  work_.set();
}

// A worker that reports to a former leader, or to nobody, is told of our token straight away: from
// then on it drops the former leader's answers, and its lease is ours to time.
Task<void> Term::announce_token() {
  const auto& s = services_.settings;
  for (;;) {
    Sleep pause(services_.reactor, s.report_s / 2);
    co_await pause;
    const double at = now();
    if (at - began_ < 1.5 * s.report_s) continue;  // most come by themselves
    std::vector<std::string> due;
    std::erase_if(called_,
                  [&](const auto& call) { return cluster_.machine(call.first) == nullptr; });
    for (const auto& [id, m] : cluster_.machines()) {
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
    const Machine* m = cluster_.machine(id);
    if (m == nullptr || !leader_lease_.valid(now())) break;
    if (m->session != 0) session = m->session;
    net::Request request{"POST", "/commands", "",
                         wire::orders_command(leader_lease_.token(), session, {}), true};
    auto calling =
        services_.transport.call(m->address, std::move(request), services_.settings.report_s);
    const auto reply = co_await calling;
    if (reply.status() != 200 && reply.status() != 409) break;
    const auto report = wire::parse_report(reply.response.body);
    if (!report || report->machine != id || deleted_.contains(id)) break;
    if (report->token > leader_lease_.token()) {
      lose("a worker has seen a higher token");
      break;
    }
    last_heard_ = now();
    cluster_.apply_report(*report, false, now());
    work_.set();
    if (reply.status() == 200 || report->session == session) break;
    session = report->session;  // it was told under the wrong session: once more
  }
  pushing_.erase(id);
}

}  // namespace cranklock::control
