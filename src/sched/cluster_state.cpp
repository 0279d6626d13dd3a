#include "sched/cluster_state.hpp"

#include <algorithm>

namespace cranklock::sched {

using wire::ExitReason;
using wire::TaskState;

namespace {
constexpr int kUnacknowledged = 2;  ///< answers in a row; one may be lost
}

bool Machine::holds_image(const std::string& image) const {
  return std::any_of(images.begin(), images.end(),
                     [&](const auto& held) { return held.first == image; });
}

bool allows(const wire::JobSpec& spec, const MachineKind& kind) {
  if (kind.spot && !spec.spot) return false;
  if (!spec.zone.empty() && spec.zone != kind.zone) return false;
  return spec.types.empty() ||
         std::find(spec.types.begin(), spec.types.end(), kind.type) != spec.types.end();
}

double ClusterState::lease_upper_bound() const {
  // Both clocks may be off, in opposite directions; a heartbeat interval covers the time between
  // our stamping an answer and its leaving.
  return settings_.lease_s * (1 + 4 * base::kClockDrift) + settings_.heartbeat_interval_s / 4;
}

Job* ClusterState::job(const std::string& id) {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

Machine* ClusterState::machine(const std::string& id) {
  const auto it = machines_.find(id);
  return it == machines_.end() ? nullptr : &it->second;
}

const wire::MachineType* ClusterState::type(const std::string& name) const {
  const auto it = types_.find(name);
  return it == types_.end() ? nullptr : &it->second;
}

void ClusterState::set_types(std::vector<wire::MachineType> types) {
  types_.clear();
  for (auto& t : types) {
    auto name = t.name;
    types_.emplace(std::move(name), std::move(t));
  }
}

const wire::Resources& ClusterState::team_allocation(const std::string& team) const {
  static const wire::Resources none;
  const auto it = team_allocation_.find(team);
  return it == team_allocation_.end() ? none : it->second;
}

void ClusterState::set_reservations(Reservations reservations) {
  if (reservations.all() == reservations_.all()) return;
  // What was held for a plan is free at once for whoever waits (invariant 19).
  changed_ = true;
  reservations_ = std::move(reservations);
}

bool ClusterState::in_force(const Reservation& reservation) const {
  const auto found = jobs_.find(reservation.job);
  if (found == jobs_.end()) return false;
  const Job& job = found->second;
  if (job.cancelled()) return false;
  if (reservation.task && job.done.contains(*reservation.task)) return false;
  return std::none_of(job.placements.begin(), job.placements.end(), [&](const Placement& p) {
    return !p.ended && p.machine == reservation.machine &&
           (!reservation.task || p.task == *reservation.task);
  });
}

void ClusterState::attach(Job& job, Placement& placement) {
  if (placement.ended) return;
  team_allocation_[job.spec.team] += job.spec.resources;
  const PlacementRef held{&job, placement.task, placement.attempt};
  Machine* m = machine(placement.machine);
  // A record may name a machine that neither list nor report has shown yet.
  if (m == nullptr) {
    unattached_[placement.machine].push_back(held);
    return;
  }
  m->allocated += job.spec.resources;
  m->tasks.push_back(held);
}

void ClusterState::detach(Job& job, const Placement& placement, double now) {
  team_allocation_[job.spec.team] -= job.spec.resources;
  const PlacementRef held{&job, placement.task, placement.attempt};
  Machine* m = machine(placement.machine);
  if (m == nullptr) {
    const auto unseen = unattached_.find(placement.machine);
    if (unseen == unattached_.end()) return;
    std::erase(unseen->second, held);
    if (unseen->second.empty()) unattached_.erase(unseen);
    return;
  }
  const auto it = std::find(m->tasks.begin(), m->tasks.end(), held);
  if (it == m->tasks.end()) return;
  m->tasks.erase(it);
  m->allocated -= job.spec.resources;
  if (m->tasks.empty()) {
    m->allocated = {};
    m->idle_since = now;
  }
}

// Guards against a job with a mistake that every change of leader starts anew at full pace. The
// record tells how often its tasks were started, and that none of them has come to anything.
void ClusterState::restore_earlier_failures(Job& job, double now) const {
  constexpr std::uint64_t kMaxRounds = 5;
  const bool shares_attempt = job.spec.kind == wire::JobKind::gang;
  const auto rounds = shares_attempt ? job.last_attempt : job.last_attempt / job.spec.tasks;
  if (rounds < 2 || job.done.size() > 0 || job.live() > 0) return;
  job.earlier_rounds = static_cast<int>(std::min(rounds - 1, kMaxRounds));
  job.backoff_until = now + settings_.heartbeat_interval_s * job.earlier_rounds;
}

Job& ClusterState::upsert_job(Job job, double now) {
  changed_ = true;
  const auto id = job.spec.id;
  if (Job* old = this->job(id)) {
    // The stored record decides which placements there are; what was learnt of each is kept.
    job.known_since = old->known_since;
    job.backoff_until = old->backoff_until;
    job.failures = old->failures;
    job.earlier_rounds = old->earlier_rounds;
    job.failed_machines = old->failed_machines;
    job.succeeded = old->succeeded;
    // Cancelled is cancelled, be the record that is put here from before.
    if (old->cancelled()) {
      job.cancelled_at_ms = old->cancelled_at_ms;
      job.cancelled_since = old->cancelled_since;
    }
    // Guards against a number given once to one machine and, after an unanswered write, to another:
    // carried out late, that write would make the two look like one placement.
    job.last_attempt = std::max(job.last_attempt, old->last_attempt);
    const auto stored_done = job.done.size();
    job.done.merge(old->done);  // learnt, perhaps not written yet; it stays true
    // Something it knew may be missing in the record, which is then written again.
    job.dirty = job.done.size() != stored_done;
    for (auto& p : job.placements) {
      const Placement* known = old->find(p.task, p.attempt);
      if (known == nullptr || known->machine != p.machine) continue;
      p = *known;
      p.durable = true;
      // What was dropped before it was stored has never been started.
      p.ended = p.ended || p.abandoned;
      p.write_unresolved = p.abandoned = false;
      job.dirty = job.dirty || p.ended;
    }
    for (const auto& p : old->placements) {
      if (!p.ended) detach(*old, p, now);
    }
    jobs_.erase(id);
  } else {
    job.known_since = now;
    restore_earlier_failures(job, now);
  }
  if (job.cancelled() && job.cancelled_since == 0) job.cancelled_since = now;
  job.sort_placements();
  Job& put = jobs_.emplace(id, std::move(job)).first->second;
  for (auto& p : put.placements) {
    if (p.decided_at == 0) p.decided_at = now;  // by a former leader, who knows when
    attach(put, p);
  }
  dependencies_.add(id, put.spec.dependencies);
  update_dependencies(put);
  if (put.cancelled()) cancel_dependents(put);
  return put;
}

// What is known of the jobs that it needs, applied to it.
void ClusterState::update_dependencies(Job& job) {
  const auto& id = job.spec.id;
  job.dependencies_met = dependencies_.met(id);
  job.ready_ms = std::max(job.created_ms, dependencies_.met_ms(id));
  if (job.cancelled()) return;
  if (const auto cancellation = dependencies_.cancellation(id)) {
    cancel(job, cancellation->at_ms, cancellation->since);
    return;
  }
  // Guards against a job that arrives when one that it needs is cancelled and not yet over.
  for (const auto& dependency : dependencies_.dependencies_of(id)) {
    const Job* live = this->job(dependency);
    if (live == nullptr || !live->cancelled()) continue;
    return cancel(job, live->cancelled_at_ms, live->cancelled_since);
  }
}

// None of them has a task, as they were never allowed to start: only their records have to follow.
// Goes from one to the next without recursion, since chains may be long.
void ClusterState::cancel_dependents(const Job& cancelled) {
  std::vector<const Job*> next{&cancelled};
  while (!next.empty()) {
    const Job* dependency = next.back();
    next.pop_back();
    for (const auto& id : dependencies_.dependents(dependency->spec.id)) {
      Job* dependent = job(id);
      if (dependent == nullptr || dependent->cancelled()) continue;
      dependent->cancelled_at_ms = dependency->cancelled_at_ms;
      dependent->cancelled_since = dependency->cancelled_since;
      changed_ = true;
      next.push_back(dependent);
    }
  }
}

void ClusterState::record_outcome(const std::string& id, const Dependencies::Outcome& outcome) {
  if (!dependencies_.has_dependents(id)) return;
  dependencies_.record_outcome(id, outcome);
  changed_ = true;
  const auto dependents = dependencies_.dependents(id);  // a copy: what follows may change it
  for (const auto& dependent : dependents) {
    if (Job* live = job(dependent)) update_dependencies(*live);
  }
}

std::vector<std::string> ClusterState::unknown_outcomes() const {
  auto unknown = dependencies_.unknown();
  std::erase_if(unknown, [this](const std::string& id) { return jobs_.contains(id); });
  return unknown;
}

void ClusterState::cancel(Job& job, std::int64_t at_ms, double since) {
  if (job.cancelled()) return;
  job.cancelled_at_ms = at_ms;
  job.cancelled_since = since;
  changed_ = true;
  cancel_dependents(job);
}

void ClusterState::remove_job(const std::string& id) {
  Job* j = job(id);
  if (j == nullptr) return;
  for (const auto& p : j->placements) {
    if (!p.ended) detach(*j, p, j->known_since);
  }
  dependencies_.remove(id);
  jobs_.erase(id);
  changed_ = true;
}

Placement& ClusterState::add_placement(Job& job, std::uint32_t task, std::uint64_t attempt,
                                       const std::string& machine_id, double now) {
  Placement placement;
  placement.task = task;
  placement.attempt = attempt;
  placement.machine = machine_id;
  placement.decided_at = now;
  job.last_attempt = std::max(job.last_attempt, attempt);
  job.dirty = true;
  // Nearly always the last, since tasks are placed in their order.
  const auto put = job.placements.insert(job.position(task, attempt), std::move(placement));
  attach(job, *put);
  return *put;
}

void ClusterState::end_placement(Job& job, Placement& placement, double now) {
  if (placement.ended) return;
  job.dirty = true;
  changed_ = true;
  if (placement.write_unresolved) {
    placement.abandoned = true;
    return;
  }
  placement.ended = true;
  detach(job, placement, now);
}

void ClusterState::resolve_abandoned(Job& job, Placement& placement, double now) {
  const bool dirty = job.dirty;
  placement.write_unresolved = placement.abandoned = false;
  end_placement(job, placement, now);
  job.dirty = dirty;
}

void ClusterState::request_stop(Placement& placement, double grace_s, double now) {
  if (placement.ended || placement.stop) return;
  placement.stop = true;
  placement.grace_s = grace_s;
  placement.stop_requested_at = now;
}

void ClusterState::request_drained_stop(Placement& placement, double before, double now) {
  if (placement.ended || (placement.stop && !placement.drain_deadline)) return;
  request_stop(placement, 0, now);
  placement.drain_deadline = before;
}

void ClusterState::revoke_drained_stop(Placement& placement) {
  if (!placement.drain_deadline) return;
  placement.stop = false;
  placement.drain_deadline.reset();
}

void ClusterState::forget_ended(Job& job,
                                const std::vector<std::pair<std::uint32_t, std::uint64_t>>& which) {
  const std::set<std::pair<std::uint32_t, std::uint64_t>> written(which.begin(), which.end());
  std::erase_if(job.placements, [&](const Placement& p) {
    return p.ended && written.contains({p.task, p.attempt});
  });
}

Machine& ClusterState::upsert_machine(const std::string& id, const MachineKind& kind, double now) {
  if (Machine* known = machine(id)) return *known;
  Machine m;
  m.id = id;
  m.kind = kind;
  m.known_since = m.idle_since = m.provisioned_at = m.last_listed = now;
  Machine& put = machines_.emplace(id, std::move(m)).first->second;
  if (const auto unseen = unattached_.find(id); unseen != unattached_.end()) {
    put.tasks = std::move(unseen->second);
    unattached_.erase(unseen);
    for (const auto& held : put.tasks) put.allocated += held.job->spec.resources;
  }
  changed_ = true;
  return put;
}

void ClusterState::end_all_placements(Machine& m, double now) {
  const auto tasks = m.tasks;  // ending a placement changes the list
  for (const auto& held : tasks) {
    end_placement(*held.job, held.placement(), now);
    stop_gang(*held.job, held.attempt, now);
  }
}

void ClusterState::remove_machine(const std::string& id, double now) {
  changed_ = true;
  Machine* m = machine(id);
  if (m == nullptr) return;
  end_all_placements(*m, now);
  machines_.erase(id);
}

void ClusterState::stop_gang(Job& job, std::uint64_t attempt, double now) {
  if (job.spec.kind != wire::JobKind::gang) return;
  for (auto& p : job.placements) {
    if (p.attempt == attempt && !p.ended) request_stop(p, 0, now);
  }
}

void ClusterState::record_image_use(Machine& m, const wire::JobSpec& spec) {
  std::erase_if(m.images, [&](const auto& held) { return held.first == spec.image; });
  m.images.emplace_back(spec.image, spec.image_gb);
  const auto* t = type(m.kind.type);
  double total = 0;
  for (const auto& held : m.images) total += held.second;
  while (t != nullptr && total > t->cache_gb && m.images.size() > 1) {
    total -= m.images.front().second;
    m.images.erase(m.images.begin());
  }
}

// Jobs of several users fail on one machine, or a job that works elsewhere: the machine is at
// fault. One job fails on several machines: the job is.
void ClusterState::task_failed(Job& job, Machine& machine, double now) {
  job.failed_machines.insert(machine.id);
  machine.fault_confirmed = machine.fault_confirmed || job.succeeded;
  if (job.crash_looping()) {
    clear_suspicion(job);
  } else {
    machine.failed_jobs.insert(job.spec.id);
  }
  if (!machine.quarantined && (machine.fault_confirmed || machine.failed_jobs.size() >= 2)) {
    machine.quarantined = true;
    machine.quarantined_since = now;
  }
  if (job.failed_machines.size() >= 2) back_off_retries(job, now);
}

// Guards against sound machines that are given back because two jobs with a mistake met there.
void ClusterState::clear_suspicion(const Job& job) {
  for (const auto& id : job.failed_machines) {
    Machine* m = machine(id);
    if (m == nullptr) continue;
    m->failed_jobs.erase(job.spec.id);
    if (m->quarantined && !m->fault_confirmed && m->failed_jobs.size() < 2) {
      m->quarantined = false;
      changed_ = true;
    }
  }
}

// Counts rounds, not tasks: hundreds that were started together fail together.
void ClusterState::back_off_retries(Job& job, double now) {
  constexpr int kMaxRounds = 5;
  if (now < job.backoff_until) return;
  ++job.failures;
  const int rounds = std::min(job.failures + job.earlier_rounds, kMaxRounds);
  job.backoff_until = now + settings_.heartbeat_interval_s * (1 << rounds);
}

void ClusterState::clear_failures(Job& job) {
  job.failures = job.earlier_rounds = 0;
  job.failed_machines.clear();
}

void ClusterState::task_exited(Job& job, Placement& placement, const wire::TaskStatus& t,
                               Machine& m, double now) {
  placement.seen = true;
  placement.state = TaskState::exited;
  const auto attempt = placement.attempt;
  switch (t.exit_reason) {
    case ExitReason::completed:
      job.done.add(placement.task);
      job.succeeded = true;
      clear_failures(job);
      m.failed_jobs.clear();
      break;
    case ExitReason::error:
      if (!job.cancelled()) task_failed(job, m, now);
      break;
    case ExitReason::insufficient_resources:
    case ExitReason::other_attempt_present:
    case ExitReason::unknown_task:
      job.backoff_until = now + settings_.heartbeat_interval_s;
      break;
    default:
      break;
  }
  end_placement(job, placement, now);
  if (t.exit_reason != ExitReason::completed) stop_gang(job, attempt, now);
}

ClusterState::Freshness ClusterState::reconcile_heartbeat(const wire::Heartbeat& r,
                                                          bool is_heartbeat, double now) {
  Machine& m = upsert_machine(r.machine, {r.type, r.zone, r.spot}, now);
  const std::pair when(r.agent_epoch, r.sequence);
  if (is_heartbeat) {
    if (when <= std::pair(m.heartbeat_epoch, m.heartbeat_sequence)) return Freshness::late_copy;
    m.heartbeat_epoch = r.agent_epoch;
    m.heartbeat_sequence = r.sequence;
  }
  if (m.heartbeat_received && when <= std::pair(m.agent_epoch, m.sequence))
    return Freshness::overtaken;
  record_agent_message(m, r, now);
  const auto reported_attempts = reconcile_tasks(m, r, now);
  // Absences. Only a heartbeat of the worker's own that shows our fencing token counts, and only
  // one newer than what carried the start: the fencing token shuts out a former leader's commands
  // still under way, the order shuts out late copies and answers crossing on the way.
  if (is_heartbeat && r.fencing_token < fencing_token_ && m.last_response > 0 &&
      ++m.unacknowledged_responses >= kUnacknowledged) {
    m.unresponsive_until = now + settings_.lease_s;
  }
  if (!is_heartbeat || r.fencing_token != fencing_token_) return Freshness::fresh;
  m.unacknowledged_responses = 0;
  reconcile_absent_tasks(m, r, reported_attempts, now);
  return Freshness::fresh;
}

// What a message says of the machine itself.
void ClusterState::record_agent_message(Machine& m, const wire::Heartbeat& r, double now) {
  const bool was_usable = m.heartbeat_received && !m.lease_expired;
  if (r.agent_epoch != m.agent_epoch) {
    // What an earlier agent epoch was told can't be executed in this one.
    m.indeterminate_starts.clear();
    if (m.heartbeat_received) m.images.clear(), m.token_acknowledged = false;
  }
  // What another leader rented may have been up for long.
  if (!m.heartbeat_received && m.provisioned_here) {
    boot_times_.note_up({m.kind.type, m.kind.zone}, now - m.provisioned_at, now);
  }
  m.overdue = false;
  m.address = r.address;
  m.agent_epoch = r.agent_epoch;
  m.sequence = r.sequence;
  m.heartbeat_received = true;
  m.lease_expired = false;
  m.last_heartbeat = now;
  if (r.fencing_token == fencing_token_ && !m.token_acknowledged) {
    // Until just now a former leader may have prolonged its lease: it is timed from here.
    m.token_acknowledged = true;
    changed_ = true;
    m.last_response = std::max(m.last_response, now);
  }
  if (r.preemption_notice_s) {
    const double at = now + *r.preemption_notice_s;
    if (!m.reclaim_at) changed_ = true;
    m.reclaim_at = m.reclaim_at ? std::min(*m.reclaim_at, at) : at;
  }
  if (m.unresponsive_until > 0 && now > m.unresponsive_until)
    m.unresponsive_until = 0, changed_ = true;
  if (!was_usable) changed_ = true;
}

// What a message says of tasks; returns all that it names.
ClusterState::Attempts ClusterState::reconcile_tasks(Machine& m, const wire::Heartbeat& r,
                                                     double now) {
  Attempts reported_attempts;
  int unknown_tasks = 0;
  for (const auto& t : r.tasks) {
    reported_attempts.insert({t.task, t.attempt});
    Job* j = job(t.task.job);
    Placement* p = j != nullptr ? j->find(t.task.index, t.attempt) : nullptr;
    if (p == nullptr || p->machine != m.id) {
      if (t.state != TaskState::exited) ++unknown_tasks;
    } else if (!p->ended) {
      reconcile_task(m, *j, *p, t, r.fencing_token == fencing_token_, now);
    }
  }
  if (m.unknown_tasks != unknown_tasks) changed_ = true;
  m.unknown_tasks = unknown_tasks;
  return reported_attempts;
}

void ClusterState::reconcile_task(Machine& m, Job& job, Placement& placement,
                                  const wire::TaskStatus& t, bool acknowledges_token, double now) {
  if (t.state == TaskState::exited) {
    // Guards against a late copy, from before our leadership, of an end in an earlier agent epoch:
    // the same attempt may have been started again since. Only that it is done stays true.
    if (acknowledges_token) {
      task_exited(job, placement, t, m, now);
    } else if (t.exit_reason == ExitReason::completed && !job.done.contains(placement.task)) {
      job.done.add(placement.task);
      job.dirty = true;
      changed_ = true;
    }
    return;
  }
  if (!placement.seen || (placement.state != t.state && t.state == TaskState::running)) {
    record_image_use(m, job.spec);
    if (t.state == TaskState::running) placement.running_since = now;
  }
  // A replica never completes: one that has run for so long works.
  const bool runs = t.state == TaskState::running && placement.running_since > 0;
  if (runs && job.spec.kind == wire::JobKind::service && !job.failed_machines.empty() &&
      now - placement.running_since > settings_.lease_s) {
    clear_failures(job);
  }
  placement.seen = true;
  placement.state = t.state;
}

// Ends the placements that a heartbeat proves gone by not naming them.
void ClusterState::reconcile_absent_tasks(Machine& m, const wire::Heartbeat& r,
                                          const Attempts& reported_attempts, double now) {
  const auto tasks = m.tasks;  // ending a placement changes the list
  for (const auto& held : tasks) {
    Job& j = *held.job;
    Placement& p = held.placement();
    if (reported_attempts.contains({{j.spec.id, p.task}, p.attempt})) continue;
    if (p.unconfirmed_start_epoch == r.agent_epoch) continue;  // may still be executed
    const bool told = p.start_epoch != 0;
    if (told &&
        std::pair(r.agent_epoch, r.sequence) <= std::pair(p.start_epoch, p.start_sequence)) {
      continue;
    }
    const bool lost =
        p.seen || (told && p.start_epoch != r.agent_epoch) ||
        (p.unconfirmed_start_epoch != 0 && p.unconfirmed_start_epoch != r.agent_epoch);
    if (!lost && !p.stop && !j.cancelled()) {
      // Guards against a machine whose reports arrive and whom no answer reaches: idle for ever, it
      // would hold whatever is put on it. What it was not told it does not run.
      if (!told || ++p.unacknowledged < kUnacknowledged) continue;  // its start is sent (again)
      m.unresponsive_until = now + settings_.lease_s;
    }
    end_placement(j, p, now);
    stop_gang(j, held.attempt, now);
  }
}

namespace {
// Guards against the stop of a replica that is in service again: what a worker reads of an answer,
// it reads within its patience, and the drain has to last until then.
bool may_send_stop(const Placement& placement, double now) {
  constexpr double kAnswerPatience = 4;  // seconds, of a worker for the answer to its heartbeat
  const double latest = now + kAnswerPatience * (1 + 2 * base::kClockDrift);
  return !placement.drain_deadline || latest < *placement.drain_deadline;
}
}  // namespace

std::vector<wire::Command> ClusterState::commands_for(const wire::Heartbeat& r, bool may_start,
                                                      double now) {
  std::vector<wire::Command> out;
  Machine* m = machine(r.machine);
  if (m == nullptr) return out;
  std::set<std::pair<wire::TaskName, std::uint64_t>> reported_attempts;
  for (const auto& t : r.tasks) {
    reported_attempts.insert({t.task, t.attempt});
    Job* j = job(t.task.job);
    const Placement* p = j != nullptr ? j->find(t.task.index, t.attempt) : nullptr;
    const bool ours = p != nullptr && p->machine == m->id;
    if (t.state == TaskState::exited) {
      // A placement still kept has not been written as ended yet: `done` is durable before
      // `forget`. A start in doubt would run once more if it came after a forget.
      if (!ours && !m->indeterminate_starts.contains({t.task, t.attempt})) {
        out.push_back({wire::CommandKind::forget, t.task, t.attempt, 0});
      }
    } else if (!ours || p->ended || j->cancelled()) {
      out.push_back({wire::CommandKind::stop, t.task, t.attempt, 0});
    } else if (p->stop && may_send_stop(*p, now)) {
      // Past its grace it is ended for good.
      const bool late =
          now > p->stop_requested_at + p->grace_s + 2 * settings_.heartbeat_interval_s;
      if (t.state != TaskState::checkpointing || late) {
        out.push_back({wire::CommandKind::stop, t.task, t.attempt, late ? 0 : p->grace_s});
      }
    }
  }
  if (!may_start || m->terminating) return out;
  for (const auto& held : m->tasks) {
    const Job& j = *held.job;
    Placement& p = held.placement();
    if (j.cancelled() || !p.durable || !j.dependencies_met) continue;
    // Guards against a placement that is stopped while its start is in doubt: nobody would ever see
    // it end. Told here of both, the worker knows the attempt, and the start in doubt has no effect
    // any more.
    if (p.stop && p.unconfirmed_start_epoch != r.agent_epoch) continue;
    if (reported_attempts.contains({{j.spec.id, p.task}, p.attempt})) continue;
    out.push_back({wire::CommandKind::start, {j.spec.id, p.task}, p.attempt, 0});
    if (p.stop) out.push_back({wire::CommandKind::stop, {j.spec.id, p.task}, p.attempt, 0});
    p.start_epoch = r.agent_epoch;
    p.start_sequence = r.sequence;
  }
  return out;
}

void ClusterState::record_response(const std::string& id, double now) {
  if (Machine* m = machine(id)) m->last_response = now;
}

void ClusterState::record_forwarder(const std::string& name, std::uint64_t run, double quiet_until,
                                    double delegate_responded_at, double now) {
  const auto [it, first] = forwarders_.try_emplace(name);
  HeartbeatForwarder& forwarder = it->second;
  // What another run of it did until it ended, nobody remembers.
  if (first || forwarder.run != run) delegate_responded_at = now;
  forwarder.run = run;
  forwarder.quiet_until = std::max(forwarder.quiet_until, quiet_until);
  forwarder.delegate_responded_at =
      std::max(forwarder.delegate_responded_at, delegate_responded_at);
}

bool ClusterState::is_forwarder_reachable(const std::string& name, double now) const {
  const auto it = forwarders_.find(name);
  return it != forwarders_.end() && now < it->second.quiet_until;
}

bool ClusterState::stopping(const Machine& m) {
  return m.unknown_tasks > 0 ||
         std::any_of(m.tasks.begin(), m.tasks.end(), [](const PlacementRef& held) {
           return held.job->cancelled() || held.placement().stop;
         });
}

double ClusterState::latest_possible_response(const Machine& m, double now) const {
  double at = m.last_response;
  // A worker that has not shown our fencing token may still listen to a former leader. That one's
  // last renewal came before our leadership, and it answers, or lets others answer, for no longer
  // than this after it: what lets a successor promise cancellations.
  if (!m.token_acknowledged) {
    at = std::max(at, began_ + base::response_span(settings_) * (1 + 4 * base::kClockDrift));
  }
  for (const auto& [name, until] : m.delegated_until) {
    const auto it = forwarders_.find(name);
    const bool heard = it != forwarders_.end() && now < it->second.quiet_until;
    at = std::max(at, std::min(until, heard ? it->second.delegate_responded_at : now));
  }
  return at;
}

void ClusterState::extend_lease_grace(const std::string& zone, double until) {
  for (auto& [id, m] : machines_) {
    if (m.kind.zone == zone) m.lease_grace_until = until;
  }
}

std::vector<std::string> ClusterState::update_zone_reachability(double now) {
  constexpr int kMin = 3;  // fewer may fail together by chance
  struct Zone {
    int workers = 0;
    double heard = 0;
  };
  std::map<std::string, Zone> zones;
  double heard = 0;
  for (const auto& [id, m] : machines_) {
    if (m.failed || m.terminating || (!m.heartbeat_received && (!m.listed || m.booting))) continue;
    Zone& zone = zones[m.kind.zone];
    ++zone.workers;
    zone.heard = std::max(zone.heard, m.heartbeat_received ? m.last_heartbeat : m.known_since);
    if (m.heartbeat_received) heard = std::max(heard, m.last_heartbeat);
  }
  // When nobody is heard, it is this node that is cut off.
  const bool others_reporting = now - heard < 1.5 * settings_.heartbeat_interval_s;
  std::vector<std::string> out;
  for (const auto& [name, zone] : zones) {
    if (now - zone.heard < 3 * settings_.heartbeat_interval_s) {
      if (unreachable_until_.erase(name) == 0) continue;
      extend_lease_grace(name, now + 2 * settings_.lease_s);  // who is there will be heard by then
      changed_ = true;
    } else if (others_reporting && zone.workers >= kMin && !unreachable_until_.contains(name)) {
      // The machines come back with their zone, and with their images; but not for ever.
      unreachable_until_[name] = now + 3 * settings_.cancel_s;
      extend_lease_grace(name, unreachable_until_[name]);
      out.push_back(name);
      changed_ = true;
    }
  }
  // Then its silent machines are given back, and others are tried there.
  std::erase_if(unreachable_until_,
                [&](const auto& unreachable) { return unreachable.second < now; });
  return out;
}

void ClusterState::update_overdue_boots(double now) {
  // Boots take up to half as long again as they should; beyond twice that something is amiss.
  constexpr double kOverdue = 2;
  for (auto& [id, m] : machines_) {
    const auto* t = type(m.kind.type);
    // Guards against a new leader that takes machines for late which have been up for long, and
    // have only not reported to it yet.
    const bool boots = m.listed ? m.booting : m.provisioned_here;
    if (!boots || m.heartbeat_received || m.overdue || t == nullptr) continue;
    if (now <= m.lease_grace_until) continue;
    if (now - m.provisioned_at <= kOverdue * expected_boot(*t, m.kind.zone, now)) continue;
    m.overdue = true;
    boot_times_.note_overdue({m.kind.type, m.kind.zone}, now);
    changed_ = true;
  }
}

std::vector<std::string> ClusterState::expire_leases(double now) {
  std::vector<std::string> out;
  for (auto& [id, m] : machines_) {
    if (m.lease_expired || (!m.heartbeat_received && m.tasks.empty())) continue;
    if (now <= latest_possible_response(m, now) + lease_upper_bound()) continue;
    m.lease_expired = true;
    out.push_back(id);
    end_all_placements(m, now);
  }
  return out;
}

}  // namespace cranklock::sched
