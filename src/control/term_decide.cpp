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
    const bool overdue = now() - last_pass > services_.settings.report_s;
    if (!cluster_.types().empty() && (cluster_.take_changed() || overdue)) {
      last_pass = now();
      auto result = sched::place_waiting(cluster_, refused_until_, last_pass);
      if (result.cut_short) cluster_.mark_changed();
      if (shortfall_.wanted.empty() && !result.shortfall.wanted.empty()) {
        const auto& [kind, count] = *result.shortfall.wanted.begin();
        spdlog::info("work finds no place: {} more {} wanted in {}{}", count, kind.type, kind.zone,
                     kind.spot ? ", spot" : "");
      }
      // Guards reports, users and the renewal of the leader lease against a fleet so large, or a
      // processor so slow, that passes would fill the time.
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
    std::vector<std::pair<std::uint32_t, std::uint64_t>> live, ended, dropped;
  };
  std::vector<wire::Condition> conditions;
  std::vector<wire::Change> changes;
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  bool full = false;
};

void Term::add_to_batch(Job& job, Batch& batch) {
  const auto& id = job.spec.id;
  Batch::Entry entry{id, job.revision, false, 0, wire::JobState::done, {}, {}, {}};
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
    // Guards against one record that fits no transaction, which must not hold up all others.
    batch.full = !batch.entries.empty();
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

// The records to write, most urgent first. Starts wait for their write, so jobs with new places go
// before others. Guards against ends that wait behind starts for ever: a job may be called done
// late, but not by more than kDoneLag.
std::vector<Job*> Term::jobs_to_write() {
  struct Candidate {
    int rank;      ///< 0: waited too long, 1: starts something, 2: the rest
    double since;  ///< orders those of rank 0
    Job* job;
  };
  std::vector<Candidate> candidates;
  const double at = now();
  for (auto& [id, job] : cluster_.jobs()) {
    if (job.withdrawn() && job.live() == 0) job.dirty = true;
    if (!job.dirty || to_reload_.contains(id)) continue;
    if (job.dirty_since == 0) job.dirty_since = at;
    if (at - job.dirty_since > kDoneLag / 3) {
      candidates.push_back({0, job.dirty_since, &job});
      continue;
    }
    const bool starts = std::any_of(job.places.begin(), job.places.end(),
                                    [](const sched::Place& p) { return !p.durable && !p.ended; });
    candidates.push_back({starts ? 1 : 2, 0, &job});
  }
  std::stable_sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::pair(a.rank, a.since) < std::pair(b.rank, b.since);
  });
  std::vector<Job*> out;
  out.reserve(candidates.size());
  for (const auto& candidate : candidates) out.push_back(candidate.job);
  return out;
}

Term::Batch Term::next_batch() {
  Batch batch;
  batch.conditions.push_back({kLeaderKey, leader_lease_.token()});
  for (Job* job : jobs_to_write()) {
    if (batch.full) break;
    add_to_batch(*job, batch);
  }
  return batch;
}

Task<void> Term::write_jobs() {
  for (;;) {
    if (is_lost_ || now() < write_after_) co_return;
    Batch batch = next_batch();
    if (batch.entries.empty()) co_return;
    auto writing = services_.store.transact(batch.conditions, batch.changes, kStoreTimeout);
    const auto result = co_await writing;
    if (result.outcome == Outcome::ok) {
      settle_written(batch, result.revision);
      push_orders();
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
      spdlog::info("job {} ended: {}", entry.id,
                   entry.ending == wire::JobState::done ? "done" : "cancelled");
      cluster_.drop_job(entry.id);
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

// ---- orders sent straight to workers ----

namespace {
/// What the leader lease is good for. What a user has cancelled is stopped even when it is in
/// doubt: no leader wants it to go on.
struct Allowed {
  bool start, stop;
};

bool start_due(const Job& job, const sched::Place& p, Allowed allowed) {
  return allowed.start && !job.withdrawn() && p.durable && !p.ended && !p.stop && !p.seen &&
         p.carried_session == 0 && p.doubtful_session == 0;
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
