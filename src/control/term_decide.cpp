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
    apply_changes();
    endings_.read_unknown();
    const bool overdue = now() - last_pass > services_.settings.report_s;
    if (!cluster_.types().empty() && (cluster_.take_changed() || overdue)) {
      last_pass = now();
      const bool job_came = std::exchange(pass_awaited_, false);
      auto result = sched::place_waiting(cluster_, refused_until_, last_pass);
      if (result.cut_short) cluster_.mark_changed();
      if (shares_ && job_came) shares_->look_again();
      if (shortfall_.wanted.empty() && !result.shortfall.wanted.empty()) {
        const auto& [kind, count] = *result.shortfall.wanted.begin();
        spdlog::info("work finds no room: {} more {} wanted in {}{}", count, kind.type, kind.zone,
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

Task<void> Term::write_jobs() {
  for (;;) {
    if (is_lost_) co_return;
    auto writing = writer_.write_next();
    const auto written = co_await writing;
    if (written == RecordWriter::Written::leadership_lost) lose("the leader's key has changed");
    if (written != RecordWriter::Written::stored) co_return;
    push_orders();
    apply_changes();
    if (writer_.take_needed_job_done()) pass_awaited_ = true;
    if (pass_awaited_ && now() >= next_pass_at_) {
      // Guards against new jobs, and next stages of pipelines, that wait for hundreds of other
      // records to be written.
      work_.set();
      co_return;
    }
  }
}

// ---- orders sent straight to workers ----

namespace {
/// What the leader lease is good for. What a user has cancelled is stopped even when it is in
/// doubt: no leader wants it to go on.
struct Allowed {
  bool start, stop;
};

bool start_due(const Job& job, const sched::Placement& p, Allowed allowed) {
  return allowed.start && !job.withdrawn() && job.needs_met && p.durable && !p.ended && !p.stop &&
         !p.seen && p.start_session == 0 && p.unconfirmed_session == 0;
}

bool stop_due(const Job& job, const sched::Placement& p, Allowed allowed) {
  return ((p.stop && allowed.stop) || job.withdrawn()) && p.seen && !p.ended && !p.stop_sent;
}
}  // namespace

void Term::push_orders() {
  const double at = now();
  if (is_lost_) return;
  const Allowed allowed{leader_lease_.may_start(at), leader_lease_.valid(at)};
  std::set<std::string> machines;
  for (const auto& [id, job] : cluster_.jobs()) {
    for (const auto& p : job.placements) {
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
    sched::Placement& p = held.placement();
    const wire::TaskName task{job.spec.id, p.task};
    if (start_due(job, p, allowed)) {
      orders.push_back({wire::Verb::start, task, p.attempt, 0});
      // In doubt from the moment of sending until answered.
      p.unconfirmed_session = session;
      m->unconfirmed_starts.insert({task, p.attempt});
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
    if (m->session == session) m->unconfirmed_starts.erase({order.task, order.attempt});
    Job* job = cluster_.job(order.task.job);
    auto* p = job != nullptr ? job->find(order.task.index, order.attempt) : nullptr;
    if (p == nullptr) continue;
    p->unconfirmed_session = 0;
    if (reply.status() == 200) {
      p->start_session = std::max(p->start_session, report->session);
      p->start_tick = std::max(p->start_tick, report->tick);
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
