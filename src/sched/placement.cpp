#include "sched/placement.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <tuple>

#include "sched/availability.hpp"
#include "sched/priority_inheritance.hpp"

namespace cranklock::sched {
namespace {

using wire::JobKind;
using wire::Resources;

/// The largest share of a machine's room that an amount takes.
double share_of(const Resources& part, const Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, part.memory_gb / whole.memory_gb);
  return share;
}

/// Whether so much of the team's work, its earliest first, is within its guarantee here.
bool within_guarantee(const ClusterState& cluster, const base::Team& team, const Resources& sum) {
  const Resources guarantee = cluster.guarantee_for(team);
  return (team.gpus > 0 || team.cpus > 0) && (team.gpus <= 0 || sum.gpus <= guarantee.gpus) &&
         (team.cpus <= 0 || sum.cpus <= guarantee.cpus);
}

/// A candidate for a task: a machine there is, or one that boots or would be rented.
struct Slot {
  MachineKind kind;
  Resources free;
  Machine* machine = nullptr;
  Resources leaving;  ///< of tasks that are being stopped
  const Job* reserved = nullptr;
  const wire::MachineType* type = nullptr;
  bool has_reservations = false;  ///< a plan of moves holds room there
};

/// Places of a job by zone, for OneZone and Apart. Everything not proven free counts.
struct ZoneCount {
  std::map<std::string, std::uint32_t> count;
  std::uint32_t total = 0;
};

// Guard against a pass that holds up reports, users and the renewal of the leader lease: a burst,
// or the loss of many machines, is dealt with in several passes, the most entitled work first.
constexpr double kExposed =
    0.5;  ///< of a boot: what a replica's placement in an exposed zone weighs
constexpr int kMaxPlaced = 400;          ///< tasks a pass
constexpr std::size_t kMaxRounds = 100;  ///< of all machines, to make room

class Pass {
 public:
  Pass(ClusterState& cluster, const std::map<MachineKind, double>& refused_until, double now)
      : cluster_(cluster), refused_until_(refused_until), now_(now) {
    std::map<std::string, Resources> leaving;  // by machine; few are being stopped
    for (const auto& [id, job] : cluster.jobs()) {
      for (const auto& p : job.placements) {
        if (!p.ended && (p.stop || job.cancelled())) leaving[p.machine] += job.spec.resources;
      }
    }
    for (auto& [id, m] : cluster.machines()) {
      const auto* t = cluster.type(m.kind.type);
      if (t == nullptr) continue;
      if (is_schedulable(cluster, m)) {
        const auto stopped = leaving.find(id);
        slots_.push_back({m.kind, t->resources - m.allocated, &m,
                          stopped == leaving.end() ? Resources{} : stopped->second, nullptr, t});
        slots_.back().has_reservations = cluster.reservations().any_on(id);
      } else if (is_starting(cluster, m)) {
        booting_.push_back({m.kind, t->resources - m.allocated, nullptr, {}, nullptr, t});
      }
    }
  }

  PassResult run() {
    take_reservations_in();
    place_rescheduled();
    for (Job* job : waiting_jobs()) {
      place(*job);
      if (result_.placed >= kMaxPlaced) {
        result_.cut_short = true;
        return std::move(result_);
      }
    }
    max_candidates_ = result_.looked_at + kMaxRounds * slots_.size();
    for (auto* job : unplaced_) make_room(*job);
    for (auto* job : unplaced_) {
      // What a plan of moves makes room for needs no machine beside it.
      if (cluster_.reservations().any_for_waiting(job->spec.id)) continue;
      add_shortfall(*job, zones_of(*job), job->pending_count(), false);
    }
    foresee_losses();
    return std::move(result_);
  }

 private:
  void take_reservations_in();
  void place_rescheduled();
  bool may_reschedule(const Job& job, std::uint32_t task, const Slot& slot) const;
  Resources room_for(const Job& job, const Slot& slot) const;
  Resources held_from(const Job& job, const Slot& slot) const;
  std::vector<Job*> waiting_jobs();
  void place(Job& job);
  bool place_gang(Job& job, const std::vector<std::uint32_t>& tasks);
  Slot* best_slot(const Job& job, const ZoneCount& zones, const std::string& only_zone);
  ZoneCount zones_of(const Job& job) const;
  bool zone_allows(const Job& job, const ZoneCount& zones, const std::string& zone) const;
  double cost(const Job& job, const Slot& slot, const ZoneCount& zones) const;
  void take(Job& job, std::uint32_t task, std::uint64_t attempt, Slot& slot);
  struct Victim {
    double loss;
    Job* job;
    Placement* placement;
  };
  /// A machine that could take a task, and what would have to be stopped there for it.
  struct Choice {
    Slot* slot;
    std::vector<Victim> victims;
    double loss;
  };
  void make_room(Job& job);
  void make_room_for_gang(Job& job);
  std::optional<Choice> choose_room(const Job& job, const ZoneCount& zones,
                                    const std::string& only_zone, const std::set<Slot*>& taken);
  std::vector<Victim> victims_on(const Job& job, const Slot& slot) const;
  double loss_of(const Job& victim, const Placement& placement) const;
  void stop_victims(const Job& job, const Choice& choice);
  std::vector<std::string> gang_zones(const Job& job) const;
  void foresee_losses();
  bool may_scale_out(const Job& job, const ZoneCount& zones, const MachineKind& kind) const;
  double price_of(const Job& job, const ZoneCount& zones, const MachineKind& kind,
                  const wire::MachineType& type) const;
  std::optional<MachineKind> cheapest_kind(const Job& job, const ZoneCount& zones) const;
  void add_shortfall(const Job& job, ZoneCount zones, std::uint32_t missing, bool replaces);
  bool may_preempt(const Job& for_job, const Job& victim) const;
  /// Replicas in a zone where no controller stands: nobody keeps them running through a cut.
  bool exposed(const Job& job, const std::string& zone) const {
    return job.spec.kind == JobKind::service && !cluster_.settings().has_node(zone);
  }
  void reserve(const Job& job);
  bool is_hopeless(const Job& job, const std::vector<const Job*>& failed) const;
  void note_hopeless(const Job& job, std::vector<const Job*>& failed) const;
  bool may_preempt_any(const Job& job) const;
  void reserve_gang(const Job& job);

  ClusterState& cluster_;
  const std::map<MachineKind, double>& refused_until_;
  double now_;
  std::vector<Slot> slots_, booting_;
  std::vector<Slot> virtual_;  ///< machines that would be rented
  std::vector<Job*> unplaced_;
  std::vector<const Reservation*> reservations_;  ///< those in force
  /// Since the last search began, a slot had room but for what is reserved there.
  mutable bool held_back_ = false;
  std::vector<const Job*> no_room_for_;  ///< see is_hopeless()
  /// The same for making room, by team, priority and guarantee.
  std::map<std::tuple<std::string, wire::Priority, bool>, std::vector<const Job*>> no_victims_for_;
  std::size_t max_candidates_ = 0;
  /// Whether anything runs of a priority, and whether some of it is not (0), or is (1), guaranteed.
  std::map<wire::Priority, std::array<bool, 2>> running_;
  std::map<std::string, Resources> planned_;  ///< by team, of shortfall already counted
  PassResult result_;
};

std::vector<Job*> Pass::waiting_jobs() {
  inherit_urgency(cluster_);
  std::vector<Job*> by_age;
  for (auto& [id, job] : cluster_.jobs()) {
    // A job that waits for others holds no part of its team's guarantee.
    if (!job.cancelled() && !job.complete() && job.dependencies_met) by_age.push_back(&job);
  }
  std::sort(by_age.begin(), by_age.end(), [](const Job* a, const Job* b) {
    return std::pair(a->ready_ms, a->spec.id) < std::pair(b->ready_ms, b->spec.id);
  });
  std::map<std::string, Resources> earlier;
  std::vector<Job*> waiting;
  for (Job* job : by_age) {
    Resources& sum = earlier[job->spec.team];
    sum += job->spec.resources * job->spec.tasks;
    const auto* team = cluster_.settings().team(job->spec.team);
    job->guaranteed = team != nullptr && within_guarantee(cluster_, *team, sum);
    if (job->live() > 0) running_[job->urgency.priority][job->guaranteed ? 1 : 0] = true;
    if (job->retry.backoff_until > now_ || job->pending_count() == 0) continue;
    waiting.push_back(job);
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](const Job* a, const Job* b) {
    // What is late already by its deadline goes before the rest, the latest first.
    const auto when = [](const Job* job) {
      return std::min(job->ready_ms, job->urgency.start_by_ms);
    };
    return std::tuple(!a->guaranteed, a->urgency.priority, when(a)) <
           std::tuple(!b->guaranteed, b->urgency.priority, when(b));
  });
  return waiting;
}

// ---- reservations of a plan of moves ----

void Pass::take_reservations_in() {
  for (const auto& reservation : cluster_.reservations().all()) {
    if (cluster_.in_force(reservation)) reservations_.push_back(&reservation);
  }
}

bool Pass::may_reschedule(const Job& job, std::uint32_t task, const Slot& slot) const {
  if (job.cancelled() || !job.dependencies_met || job.retry.backoff_until > now_ ||
      !job.is_pending(task)) {
    return false;
  }
  return job.live() < max_live_tasks(cluster_.settings()) &&
         within_quota_limit(cluster_, job.spec.team, job.spec.resources) &&
         allows(job.spec, slot.kind) && zone_allows(job, zones_of(job), slot.kind.zone) &&
         job.spec.resources.fits_in(slot.free);
}

// Tasks that a plan has stopped go to their targets before anything else is placed. Guards against
// their team's limit, which was theirs until just now, going to another job of the team, and
// against other tasks of the same job that wait.
void Pass::place_rescheduled() {
  const auto due = reservations_;  // a copy: taking one ends it
  for (const Reservation* reservation : due) {
    Job* job = cluster_.job(reservation->job);
    const auto slot = std::find_if(slots_.begin(), slots_.end(), [&](const Slot& candidate) {
      return candidate.machine->id == reservation->machine;
    });
    if (!reservation->task || slot == slots_.end()) continue;
    if (!may_reschedule(*job, *reservation->task, *slot)) continue;
    take(*job, *reservation->task, job->last_attempt + 1, *slot);
    std::erase(reservations_, reservation);
  }
}

// What is reserved on the slot for others, save for those whose room the job is entitled to.
Resources Pass::held_from(const Job& job, const Slot& slot) const {
  Resources held;
  for (const Reservation* reservation : reservations_) {
    if (reservation->machine != slot.machine->id) continue;
    const Job& holder = *cluster_.job(reservation->job);
    if (&holder == &job && !reservation->task) continue;
    if (reservation->yields_to == job.spec.id) continue;
    if (&holder != &job && may_preempt(job, holder)) continue;
    held += reservation->resources;
  }
  return held;
}

Resources Pass::room_for(const Job& job, const Slot& slot) const {
  if (!slot.has_reservations) return slot.free;
  const Resources resources = slot.free - held_from(job, slot);
  if (job.spec.resources.fits_in(slot.free + slot.leaving) &&
      !job.spec.resources.fits_in(resources + slot.leaving)) {
    held_back_ = true;
  }
  return resources;
}

ZoneCount Pass::zones_of(const Job& job) const {
  ZoneCount out;
  if (!job.spec.one_zone && !job.spec.spread) return out;
  for (const auto& p : job.placements) {
    if (p.ended) continue;
    const Machine* m = cluster_.machine(p.machine);
    // A machine that nothing has shown yet could be anywhere.
    ++out.count[m != nullptr ? m->kind.zone : std::string("?")];
    ++out.total;
  }
  return out;
}

bool Pass::zone_allows(const Job& job, const ZoneCount& zones, const std::string& zone) const {
  const auto unknown = zones.count.find("?");
  const std::uint32_t doubt = unknown == zones.count.end() ? 0 : unknown->second;
  const auto it = zones.count.find(zone);
  const std::uint32_t here = it == zones.count.end() ? 0 : it->second;
  if (job.spec.one_zone && here != zones.total) return false;
  if (job.spec.spread && here + doubt + 1 > (job.spec.tasks + 1) / 2) return false;
  return true;
}

double Pass::cost(const Job& job, const Slot& slot, const ZoneCount& zones) const {
  const auto* t = slot.type;
  double seconds = 0;
  if (slot.machine != nullptr && !slot.machine->holds_image(job.spec.image)) {
    seconds += job.spec.image_gb / std::max(t->fetch_gb_per_s, 0.01);
  }
  // Best fit keeps whole machines for the largest; a full machine's worth of room left over weighs
  // a tenth of what its boot does.
  constexpr double kFragmentation = 0.1;
  seconds += kFragmentation * t->ready_s * share_of(slot.free - job.spec.resources, t->resources);
  if (job.spec.spot && !slot.kind.spot) seconds += t->ready_s;
  if (exposed(job, slot.kind.zone)) seconds += kExposed * t->ready_s;
  if (job.spec.spread) {
    const auto it = zones.count.find(slot.kind.zone);
    if (it != zones.count.end()) seconds += t->ready_s * it->second;
  }
  return seconds;
}

// Room only shrinks while jobs are placed, so what found none leaves none for more of the same: a
// burst of equal jobs costs one search of the fleet, not one each.
bool Pass::is_hopeless(const Job& job, const std::vector<const Job*>& failed) const {
  if (cluster_.reservations().any_for_waiting(job.spec.id)) return false;
  return std::any_of(failed.begin(), failed.end(), [&](const Job* other) {
    const auto& f = other->spec;
    return f.resources.fits_in(job.spec.resources) && (f.spot || !job.spec.spot) &&
           (f.types.empty() || f.types == job.spec.types) &&
           (f.zone.empty() || f.zone == job.spec.zone);
  });
}

void Pass::note_hopeless(const Job& job, std::vector<const Job*>& failed) const {
  // Its failure must be for want of room alone, and not for room that others may use.
  if (held_back_) return;
  if (job.spec.one_zone || job.spec.spread || job.retry.failed_machines.size() == 1) return;
  constexpr std::size_t kMaxEntries = 16;  // sizes differ little
  if (failed.size() < kMaxEntries) failed.push_back(&job);
}

Slot* Pass::best_slot(const Job& job, const ZoneCount& zones, const std::string& only_zone) {
  Slot* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  result_.looked_at += slots_.size();
  for (auto& slot : slots_) {
    if (!job.spec.resources.fits_in(room_for(job, slot)) || !allows(job.spec, slot.kind)) continue;
    if (!only_zone.empty() && slot.kind.zone != only_zone) continue;
    if (slot.reserved != nullptr && slot.reserved != &job) continue;
    if (!zone_allows(job, zones, slot.kind.zone)) continue;
    // Two machines that failed it speak against the job, one against the machine.
    if (job.retry.failed_machines.size() == 1 &&
        job.retry.failed_machines.contains(slot.machine->id))
      continue;
    const double c = cost(job, slot, zones);
    if (c < best_cost) best = &slot, best_cost = c;
  }
  return best;
}

void Pass::take(Job& job, std::uint32_t task, std::uint64_t attempt, Slot& slot) {
  cluster_.add_placement(job, task, attempt, slot.machine->id, now_);
  slot.free -= job.spec.resources;
  ++result_.placed;
}

std::vector<std::string> Pass::gang_zones(const Job& job) const {
  if (!job.spec.one_zone) return {""};
  std::vector<std::string> zones;
  for (const auto& slot : slots_) {
    if (std::find(zones.begin(), zones.end(), slot.kind.zone) == zones.end()) {
      zones.push_back(slot.kind.zone);
    }
  }
  return zones;
}

bool Pass::place_gang(Job& job, const std::vector<std::uint32_t>& tasks) {
  for (const auto& zone : gang_zones(job)) {
    const auto before = slots_;
    ZoneCount count;
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
      Slot* slot = best_slot(job, count, zone);
      if (slot == nullptr) break;
      slot->free -= job.spec.resources;
      ++count.count[slot->kind.zone];
      ++count.total;
      chosen.push_back(static_cast<std::size_t>(slot - slots_.data()));
    }
    slots_ = before;
    if (chosen.size() != tasks.size()) continue;
    const auto attempt = job.last_attempt + 1;  // one number for the whole gang
    for (std::size_t i = 0; i < tasks.size(); ++i) take(job, tasks[i], attempt, slots_[chosen[i]]);
    return true;
  }
  return false;
}

void Pass::place(Job& job) {
  // More live tasks would not fit the job's record; the rest waits its turn.
  const auto most = max_live_tasks(cluster_.settings());
  const auto live = job.live();
  const auto room_left = live < most ? most - live : 0;
  const auto tasks = job.pending(room_left);
  if (tasks.empty()) return;
  if (job.spec.kind == JobKind::gang) {
    // The old attempt must be gone entirely before the next begins.
    if (live > 0 || tasks.size() != job.spec.tasks) return;
    if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources * job.spec.tasks)) return;
    held_back_ = false;
    if (is_hopeless(job, no_room_for_) || !place_gang(job, tasks)) {
      unplaced_.push_back(&job);
      reserve_gang(job);
    }
    return;
  }
  auto zones = zones_of(job);
  Slot* slot = nullptr;
  for (const auto task : tasks) {
    if (!within_quota_limit(cluster_, job.spec.team, job.spec.resources)) return;
    // Where one task fits best the next does too, as long as it fits: less is left over there.
    if (slot == nullptr || job.spec.spread || !job.spec.resources.fits_in(room_for(job, *slot))) {
      held_back_ = false;
      slot = is_hopeless(job, no_room_for_) ? nullptr : best_slot(job, zones, "");
    }
    if (slot == nullptr) {
      note_hopeless(job, no_room_for_);
      unplaced_.push_back(&job);
      reserve(job);
      return;
    }
    ++zones.count[slot->kind.zone];
    ++zones.total;
    take(job, task, job.last_attempt + 1, *slot);
  }
}

void Pass::reserve(const Job& job) {
  if (cluster_.reservations().any_for_waiting(job.spec.id)) return;  // a plan holds its room
  // Small work would for ever take what a large task waits for: once it has waited as long as a
  // machine takes to boot, the machine that has most of the room free is kept for it.
  Slot* best = nullptr;
  for (auto& slot : slots_) {
    if (slot.reserved != nullptr) continue;
    // Room that is being made is for whom it is made.
    const bool being_made = slot.leaving.gpus + slot.leaving.cpus > 0 &&
                            job.spec.resources.fits_in(room_for(job, slot) + slot.leaving);
    const bool better = job.spec.resources.fits_in(slot.type->resources) &&
                        now_ - job.known_since >= slot.type->ready_s &&
                        2 * share_of(job.spec.resources, slot.type->resources) >= 1 &&
                        (best == nullptr || slot.free.gpus > best->free.gpus);
    if (!(being_made || better) || !allows(job.spec, slot.kind)) continue;
    best = &slot;
    if (being_made) break;
  }
  if (best != nullptr) best->reserved = &job;
}

// Guards against a gang of large tasks that never finds all its machines free at once: those of one
// zone are kept for it as soon as what leaves them will do, or once it has waited as long as a
// boot.
void Pass::reserve_gang(const Job& job) {
  if (cluster_.reservations().any_for_waiting(job.spec.id)) return;  // a plan holds its room
  std::vector<Slot*> best;
  std::size_t best_fitting = 0;
  for (const auto& zone : gang_zones(job)) {
    std::vector<Slot*> fitting, others;
    for (auto& slot : slots_) {
      const auto* t = slot.type;
      if (slot.reserved != nullptr || !allows(job.spec, slot.kind)) continue;
      if (!zone.empty() && slot.kind.zone != zone) continue;
      if (job.spec.resources.fits_in(room_for(job, slot) + slot.leaving)) {
        fitting.push_back(&slot);
      } else if (job.spec.resources.fits_in(t->resources) && now_ - job.known_since > t->ready_s &&
                 2 * share_of(job.spec.resources, t->resources) >= 1) {
        others.push_back(&slot);
      }
    }
    std::sort(others.begin(), others.end(),
              [](const Slot* a, const Slot* b) { return a->free.gpus > b->free.gpus; });
    const auto count = fitting.size();
    fitting.insert(fitting.end(), others.begin(), others.end());
    if (fitting.size() < job.spec.tasks || (!best.empty() && count <= best_fitting)) continue;
    best = std::move(fitting);
    best_fitting = count;
  }
  for (std::size_t i = 0; i < std::min<std::size_t>(best.size(), job.spec.tasks); ++i) {
    best[i]->reserved = &job;
  }
}

bool Pass::may_preempt(const Job& for_job, const Job& victim) const {
  if (for_job.urgency.priority < victim.urgency.priority)
    return !victim.guaranteed || for_job.guaranteed;
  // Work that another team runs beyond its guarantee, so that a team gets its own.
  return for_job.guaranteed && !victim.guaranteed && for_job.spec.team != victim.spec.team;
}

void Pass::make_room(Job& job) {
  if (job.spec.kind == JobKind::gang) return make_room_for_gang(job);
  auto zones = zones_of(job);
  Resources planned;
  auto& failed = no_victims_for_[{job.spec.team, job.urgency.priority, job.guaranteed}];
  held_back_ = false;
  if (is_hopeless(job, failed)) return;
  for (auto missing = job.pending_count(); missing > 0 && result_.looked_at < max_candidates_;
       --missing) {
    planned += job.spec.resources;
    if (!within_quota_limit(cluster_, job.spec.team, planned)) return;
    const auto choice = choose_room(job, zones, "", {});
    if (!choice) return note_hopeless(job, failed);
    ++zones.count[choice->slot->kind.zone];
    ++zones.total;
    stop_victims(job, *choice);
  }
}

void Pass::make_room_for_gang(Job& job) {
  // All of it or nothing: where the least is lost by making room for every task.
  std::vector<Choice> best;
  double best_loss = std::numeric_limits<double>::infinity();
  for (const auto& zone : gang_zones(job)) {
    if (result_.looked_at >= max_candidates_) break;
    std::vector<Choice> choices;
    std::set<Slot*> taken;
    ZoneCount count;
    double loss = 0;
    while (choices.size() < job.spec.tasks) {
      auto choice = choose_room(job, count, zone, taken);
      if (!choice) break;
      loss += choice->loss;
      ++count.count[choice->slot->kind.zone];
      ++count.total;
      if (!choice->victims.empty()) taken.insert(choice->slot);
      choice->slot->free -= job.spec.resources;
      choices.push_back(std::move(*choice));
    }
    for (const auto& choice : choices) choice.slot->free += job.spec.resources;
    if (choices.size() < job.spec.tasks || loss >= best_loss) continue;
    best = std::move(choices);
    best_loss = loss;
  }
  for (const auto& choice : best) stop_victims(job, choice);
}

bool Pass::may_preempt_any(const Job& job) const {
  return std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
    const auto& [priority, guaranteed] = entry;
    return (guaranteed[0] && (job.guaranteed || job.urgency.priority < priority)) ||
           (guaranteed[1] && job.guaranteed && job.urgency.priority < priority);
  });
}

// What may be stopped on a machine for a job: the lowest priority and least lost work first.
std::vector<Pass::Victim> Pass::victims_on(const Job& job, const Slot& slot) const {
  std::vector<Victim> victims;
  for (const auto& held : slot.machine->tasks) {
    Job* victim = held.job;
    if (victim->cancelled() || !may_preempt(job, *victim)) continue;
    if (victim->spec.kind == JobKind::gang && victim->spec.tasks > 1) continue;
    Placement& p = held.placement();
    if (p.stop || !p.durable()) continue;
    victims.push_back({loss_of(*victim, p), victim, &p});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& a, const Victim& b) {
    return std::pair(b.job->urgency.priority, a.loss) < std::pair(a.job->urgency.priority, b.loss);
  });
  return victims;
}

// Seconds of work. A replica's absence is noticed at once; other work loses what it did not save.
double Pass::loss_of(const Job& victim, const Placement& placement) const {
  if (victim.spec.kind == JobKind::service) return cluster_.settings().cancel_s;
  const double ran = placement.running_since > 0 ? now_ - placement.running_since : 0;
  return victim.spec.checkpoint_interval_s > 0 ? std::min(ran, victim.spec.checkpoint_save_s) : ran;
}

std::optional<Pass::Choice> Pass::choose_room(const Job& job, const ZoneCount& zones,
                                              const std::string& only_zone,
                                              const std::set<Slot*>& taken) {
  std::optional<Choice> best;
  const bool preempts = may_preempt_any(job);
  result_.looked_at += slots_.size();
  for (auto& slot : slots_) {
    Resources resources = room_for(job, slot) + slot.leaving;
    if (!preempts && !job.spec.resources.fits_in(resources)) continue;
    if (slot.reserved != nullptr && slot.reserved != &job) continue;
    if (!allows(job.spec, slot.kind) || !zone_allows(job, zones, slot.kind.zone)) continue;
    if ((!only_zone.empty() && slot.kind.zone != only_zone) || taken.contains(&slot)) continue;
    if (job.spec.resources.fits_in(resources))
      return Choice{&slot, {}, 0};  // what leaves there suffices
    const auto candidates = victims_on(job, slot);
    Choice choice{&slot, {}, 0};
    for (const auto& c : candidates) {
      if (job.spec.resources.fits_in(resources)) break;
      resources += c.job->spec.resources;
      choice.loss += 1 + c.loss;
      choice.victims.push_back(c);
    }
    if (!job.spec.resources.fits_in(resources) || (best && choice.loss >= best->loss)) continue;
    best = std::move(choice);
  }
  return best;
}

void Pass::stop_victims(const Job& job, const Choice& choice) {
  choice.slot->free -= job.spec.resources;
  for (const auto& v : choice.victims) {
    v.placement->request_stop(
        v.job->spec.checkpoint_interval_s > 0 ? v.job->spec.checkpoint_save_s : 0, now_);
    choice.slot->leaving += v.job->spec.resources;
    ++result_.stopped;
  }
}

void Pass::foresee_losses() {
  // What runs in a zone that is cut off will need room elsewhere once it is known to be gone, and
  // machines take their time to boot.
  if (!cluster_.any_unreachable()) return;
  for (auto& [id, job] : cluster_.jobs()) {
    if (job.cancelled()) continue;
    ZoneCount elsewhere;
    std::uint32_t doomed = 0;
    for (const auto& p : job.placements) {
      const Machine* m = p.ended ? nullptr : cluster_.machine(p.machine);
      if (m == nullptr) continue;
      if (cluster_.is_unreachable(m->kind.zone)) {
        ++doomed;
      } else {
        ++elsewhere.count[m->kind.zone];
        ++elsewhere.total;
      }
    }
    if (doomed > 0) add_shortfall(job, std::move(elsewhere), doomed, true);
  }
}

// Whether a machine of this kind may be asked for now, for a task of the job.
bool Pass::may_scale_out(const Job& job, const ZoneCount& zones, const MachineKind& kind) const {
  if (!allows(job.spec, kind) || !zone_allows(job, zones, kind.zone)) return false;
  const auto refused = refused_until_.find(kind);
  return refused == refused_until_.end() || refused->second <= now_;
}

double Pass::price_of(const Job& job, const ZoneCount& zones, const MachineKind& kind,
                      const wire::MachineType& type) const {
  double price =
      (kind.spot ? type.spot_price : type.price) * share_of(job.spec.resources, type.resources);
  if (exposed(job, kind.zone)) price *= 1 + kExposed;
  // Where boots are late the task waits for longer, and more is paid for machines that never come.
  price *= cluster_.boot_penalty(type, kind.zone, now_);
  const auto here = zones.count.find(kind.zone);
  if (here != zones.count.end()) price *= 1 + 0.01 * here->second;
  const auto wanted = result_.shortfall.wanted.find(kind);
  if (wanted != result_.shortfall.wanted.end()) price *= 1 + 0.001 * wanted->second;
  return price;
}

// The kind that costs least for the share of it that one task takes.
std::optional<MachineKind> Pass::cheapest_kind(const Job& job, const ZoneCount& zones) const {
  std::optional<MachineKind> best;
  double best_price = std::numeric_limits<double>::infinity();
  for (const auto& [name, type] : cluster_.types()) {
    if (!job.spec.resources.fits_in(type.resources)) continue;
    for (const auto& zone : type.zones) {
      if (cluster_.is_unreachable(zone)) continue;
      for (const bool spot : {true, false}) {
        const MachineKind kind{name, zone, spot};
        if (!may_scale_out(job, zones, kind)) continue;
        const double price = price_of(job, zones, kind, type);
        if (price < best_price) best = kind, best_price = price;
      }
    }
  }
  return best;
}

void Pass::add_shortfall(const Job& job, ZoneCount zones, std::uint32_t missing, bool replaces) {
  if (job.retry.failed_rounds > 0) return;  // machines are not what it lacks
  const auto fits = [&](const Slot& slot) {
    return job.spec.resources.fits_in(room_for(job, slot)) && allows(job.spec, slot.kind) &&
           zone_allows(job, zones, slot.kind.zone);
  };
  const auto use = [&](Slot& slot) {
    slot.free -= job.spec.resources;
    ++zones.count[slot.kind.zone];
    ++zones.total;
  };
  // What did not fit one task of the job does not fit the next: each list is gone through once.
  auto ready = slots_.begin(), booting = booting_.begin();
  std::size_t rented = 0;  // an index, as the list grows
  for (; missing > 0; --missing) {
    Resources& planned = planned_[job.spec.team];
    if (!replaces) {  // what is to be replaced is counted already
      if (!within_quota_limit(cluster_, job.spec.team, planned + job.spec.resources)) return;
      planned += job.spec.resources;
    }
    if (replaces || job.spec.kind == JobKind::gang) {
      // Part of a gang, or of what will be lost, may find room; only the rest is missing.
      ready = std::find_if(ready, slots_.end(), fits);
      if (ready != slots_.end()) {
        result_.shortfall.waiting[pool_of(ready->kind)] += job.spec.resources;
        use(*ready);
        continue;
      }
    }
    booting = std::find_if(booting, booting_.end(), fits);
    if (booting != booting_.end()) {
      result_.shortfall.waiting[pool_of(booting->kind)] += job.spec.resources;
      use(*booting);
      continue;
    }
    while (rented < virtual_.size() && !fits(virtual_[rented])) ++rented;
    if (rented < virtual_.size()) {
      result_.shortfall.waiting[pool_of(virtual_[rented].kind)] += job.spec.resources;
      use(virtual_[rented]);
      continue;
    }
    const auto best = cheapest_kind(job, zones);
    if (!best) return;
    ++result_.shortfall.wanted[*best];
    result_.shortfall.waiting[pool_of(*best)] += job.spec.resources;
    const auto* type = cluster_.type(best->type);
    virtual_.push_back({*best, type->resources, nullptr, {}, nullptr, type});
    use(virtual_.back());
  }
}

}  // namespace

PassResult place_waiting(ClusterState& cluster, const std::map<MachineKind, double>& refused_until,
                         double now) {
  return Pass(cluster, refused_until, now).run();
}

}  // namespace cranklock::sched
