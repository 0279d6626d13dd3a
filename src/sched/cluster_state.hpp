// What the leader knows: jobs with their placements, machines, teams' use. Pure: no I/O, time
// passed in.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/settings.hpp"
#include "sched/boot_times.hpp"
#include "sched/dependencies.hpp"
#include "sched/job.hpp"
#include "sched/reservations.hpp"
#include "sched/team_shares.hpp"
#include "wire/agent_protocol.hpp"
#include "wire/client_api.hpp"
#include "wire/cloud_api.hpp"
#include "wire/types.hpp"

namespace cranklock::sched {

/// A live placement as its machine knows it: an index over the jobs' placements, kept by
/// ClusterState alone.
struct PlacementRef {
  Job* job;
  std::uint32_t task;
  std::uint64_t attempt;

  Placement& placement() const { return *job->find(task, attempt); }
  bool operator==(const PlacementRef&) const = default;
};

struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;  // NOLINT(modernize-use-nullptr)
};

struct Machine {
  std::string id, address;
  MachineKind kind;
  double known_since = 0;
  double provisioned_at =
      0;  ///< by its age in the list, or when the scale-out request was answered
  bool listed = false;
  bool booting = false;  ///< as last listed
  double last_listed = 0;
  bool failed = false;
  bool overdue = false;             ///< it has booted for so long that it may never come up
  bool provisioned_here = false;    ///< by this leader
  bool heartbeat_received = false;  ///< to this leader
  bool token_acknowledged = false;  ///< in the agent epoch and since this leader's fencing token
  std::uint64_t agent_epoch = 0, sequence = 0;                ///< newest message of any kind
  std::uint64_t heartbeat_epoch = 0, heartbeat_sequence = 0;  ///< newest heartbeat of its own
  double last_heartbeat = 0;
  double last_response = 0;  ///< when a heartbeat was last answered 200
  /// Until when a forwarder, by name, may answer its heartbeats in our stead.
  std::map<std::string, double> delegated_until;
  double redirected_at = 0;  ///< when it was last sent to a forwarder
  std::optional<double> reclaim_at;
  bool lease_expired = false;     ///< its lease has certainly run out
  double lease_grace_until = 0;   ///< its zone is cut off, or was until lately
  double unresponsive_until = 0;  ///< what it is told does not reach it; 0: it does
  int unacknowledged_responses =
      0;  ///< answers after which it still did not show our fencing token
  bool quarantined = false;
  double quarantined_since = 0;
  /// A job that works elsewhere failed there; otherwise several jobs did, which may be at fault.
  bool fault_confirmed = false;
  bool terminating = false;  ///< to be deleted; nothing is placed on it
  double idle_since = 0;
  std::set<std::string> failed_jobs;  ///< since something last worked there, but those at fault
  int unknown_tasks = 0;              ///< reported tasks without a placement, not yet exited
  std::vector<std::pair<std::string, double>> images;  ///< most recently used last
  wire::Resources allocated;
  std::vector<PlacementRef> tasks;
  /// Starts in doubt in the present agent epoch: what must not be forgotten there.
  std::set<std::pair<wire::TaskName, std::uint64_t>> indeterminate_starts;

  /// Since this leader began: a heartbeat alone may be a late copy of a machine that is gone.
  bool confirmed() const { return token_acknowledged || provisioned_here; }
  bool holds_image(const std::string& image) const;
  bool idle() const { return tasks.empty() && unknown_tasks == 0; }
};

class ClusterState {
 public:
  /// `began` is when the leadership was known to be ours.
  ClusterState(const base::Settings& settings, std::uint64_t fencing_token, double began)
      : settings_(settings), fencing_token_(fencing_token), began_(began) {}

  // Jobs.
  /// Takes over what is stored. What was learnt of the job and its placements is kept.
  Job& upsert_job(Job job, double now);
  void remove_job(const std::string& id);
  /// Its user has cancelled it, at `since` or later; the stored record may come after this. All
  /// jobs that need it, directly or through others, are cancelled with it.
  void cancel(Job& job, std::int64_t at_ms, double since);
  /// The outcome of a job that others may need is known to be stored: they may start, or are
  /// cancelled.
  void record_outcome(const std::string& id, const Dependencies::Outcome& outcome);
  const Dependencies& dependencies() const { return dependencies_; }
  /// Jobs that live ones need, which are not live themselves and whose outcome is not known: it has
  /// to be read.
  std::vector<std::string> unknown_outcomes() const;
  Job* job(const std::string& id);
  std::map<std::string, Job>& jobs() { return jobs_; }

  // Places.
  Placement& add_placement(Job& job, std::uint32_t task, std::uint64_t attempt,
                           const std::string& machine, double now);
  void end_placement(Job& job, Placement& placement, double now);
  /// A write of the record has succeeded that does not name it.
  void resolve_abandoned(Job& job, Placement& placement, double now);
  static void request_stop(Placement& placement, double grace_s, double now);
  /// The same for a replica that a router keeps drained until `before`, or prolongs that.
  static void request_drained_stop(Placement& placement, double before, double now);
  /// Takes such a stop back; one that was carried out meanwhile shows in the next heartbeat.
  static void revoke_drained_stop(Placement& placement);
  /// How long the evidence against a quarantined machine is waited for that would clear it.
  double quarantine_period() const { return 3 * settings_.heartbeat_interval_s; }
  /// Ends everything a machine holds; what it held of gangs is stopped elsewhere too.
  void end_all_placements(Machine& machine, double now);
  /// Erases ended placements that a durable record no longer names.
  void forget_ended(Job& job, const std::vector<std::pair<std::uint32_t, std::uint64_t>>& which);

  // Machines.
  Machine& upsert_machine(const std::string& id, const MachineKind& kind, double now);
  Machine* machine(const std::string& id);
  std::map<std::string, Machine>& machines() { return machines_; }
  /// After a 200 to its deletion: everything on it is gone.
  void remove_machine(const std::string& id, double now);

  /// `overtaken`: a heartbeat that an answer to a direct command has passed on the way.
  enum class Freshness { fresh, overtaken, late_copy };
  /// Takes a heartbeat in. `is_heartbeat` is false for the answers of direct commands, from which
  /// no absence is concluded. A late copy changes nothing.
  Freshness reconcile_heartbeat(const wire::Heartbeat& heartbeat, bool is_heartbeat, double now);
  /// What to tell a worker in the answer to this heartbeat. Starts only while `may_start`.
  std::vector<wire::Command> commands_for(const wire::Heartbeat& heartbeat, bool may_start,
                                          double now);
  void record_response(const std::string& machine, double now);

  /// What a forwarder's hello proves: that it answers no worker in our stead before `quiet_until`,
  /// save for what it did until `delegate_responded_at` (below 0: never).
  void record_forwarder(const std::string& name, std::uint64_t run, double quiet_until,
                        double delegate_responded_at, double now);
  /// The forwarder has heard us, and we it, just now.
  bool is_forwarder_reachable(const std::string& name, double now) const;
  /// Something on it is to be stopped, or may still run though it is ended here.
  static bool stopping(const Machine& machine);
  /// The latest time at which a heartbeat of it may have been answered by us, in our stead, or by a
  /// former leader.
  double latest_possible_response(const Machine& machine, double now) const;

  /// Ends the placements of machines whose lease has run out for certain; returns those machines.
  std::vector<std::string> expire_leases(double now);

  /// Looks for zones whose workers have all gone quiet at once while others report; returns those
  /// that turned unreachable just now. What is there may well run on, but nothing new is asked of
  /// it.
  std::vector<std::string> update_zone_reachability(double now);
  bool is_unreachable(const std::string& zone) const { return unreachable_until_.contains(zone); }
  bool any_unreachable() const { return !unreachable_until_.empty(); }

  /// Looks for machines that boot for much longer than was lately seen of their type and zone:
  /// their room is not counted on until they come.
  void update_overdue_boots(double now);
  /// What a boot of the type should take there now, and no less than the cloud says.
  double expected_boot(const wire::MachineType& type, const std::string& zone, double now) const {
    return boot_times_.expected({type.name, zone}, type.ready_s, now);
  }
  /// By how much worse boots lately are there than the cloud says: 1 is as it says.
  double boot_penalty(const wire::MachineType& type, const std::string& zone, double now) const {
    return boot_times_.penalty({type.name, zone}, type.ready_s, now);
  }

  void set_types(std::vector<wire::MachineType> types);
  const std::map<std::string, wire::MachineType>& types() const { return types_; }
  const wire::MachineType* type(const std::string& name) const;

  const wire::Resources& team_allocation(const std::string& team) const;
  /// What teams may use here when that is less than the settings say; nullptr: all of it. Asked as
  /// long as anything is placed here.
  void set_team_shares(const TeamShares* shares) { team_shares_ = shares; }
  wire::Resources guarantee_for(const base::Team& team) const {
    return team_shares_ != nullptr ? team_shares_->guarantee(team) : full_guarantee(team);
  }
  wire::Resources limit_for(const base::Team& team) const {
    return team_shares_ != nullptr ? team_shares_->limit(team) : full_limit(team);
  }
  /// Replaces all reservations, those of the plan of moves that is under way.
  void set_reservations(Reservations reservations);
  const Reservations& reservations() const { return reservations_; }
  /// Whether the reservation still holds room: its job lives, and nothing of what it is for is on
  /// the machine yet.
  bool in_force(const Reservation& reservation) const;
  const base::Settings& settings() const { return settings_; }
  std::uint64_t fencing_token() const { return fencing_token_; }
  double lease_upper_bound() const;
  /// True since the last call when something happened that placement should look at.
  bool take_changed() { return std::exchange(changed_, false); }
  void mark_changed() { changed_ = true; }

 private:
  /// Tasks with their attempts.
  using Attempts = std::set<std::pair<wire::TaskName, std::uint64_t>>;
  void record_agent_message(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  Attempts reconcile_tasks(Machine& machine, const wire::Heartbeat& heartbeat, double now);
  void reconcile_task(Machine& machine, Job& job, Placement& placement,
                      const wire::TaskStatus& heartbeat, bool acknowledges_token, double now);
  void reconcile_absent_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                              const Attempts& reported_attempts, double now);
  void task_exited(Job& job, Placement& placement, const wire::TaskStatus& heartbeat,
                   Machine& machine, double now);
  void task_failed(Job& job, Machine& machine, double now);
  void restore_earlier_failures(Job& job, double now) const;
  void back_off_retries(Job& job, double now);
  void clear_suspicion(const Job& job);
  static void clear_failures(Job& job);
  void extend_lease_grace(const std::string& zone, double until);
  void stop_gang(Job& job, std::uint64_t attempt, double now);
  void record_image_use(Machine& machine, const wire::JobSpec& spec);
  void update_dependencies(Job& job);
  void cancel_dependents(const Job& cancelled);
  void attach(Job& job, Placement& placement);
  void detach(Job& job, const Placement& placement, double now);

  const base::Settings& settings_;
  std::uint64_t fencing_token_;
  double began_;
  std::map<std::string, Job> jobs_;
  Dependencies dependencies_;
  std::map<std::string, Machine> machines_;
  /// Places on machines that neither list nor report has shown yet, by machine.
  std::map<std::string, std::vector<PlacementRef>> unattached_;
  std::map<std::string, wire::Resources> team_allocation_;
  const TeamShares* team_shares_ = nullptr;
  Reservations reservations_;
  std::map<std::string, wire::MachineType> types_;
  struct HeartbeatForwarder {
    std::uint64_t run = 0;
    double quiet_until = 0, delegate_responded_at = 0;
  };
  std::map<std::string, HeartbeatForwarder> forwarders_;
  std::map<std::string, double> unreachable_until_;
  BootTimes boot_times_;
  bool changed_ = true;
};

/// Whether a task of the job may ever run on machines of this kind.
bool allows(const wire::JobSpec& spec, const MachineKind& kind);

}  // namespace cranklock::sched
