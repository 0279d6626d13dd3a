// An agent without computation: leases, agent epochs, images and tasks as PROTOCOL describes them.
// The test cluster and the lab carry its messages and decide which faults it has.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "net/http.hpp"
#include "sched/cluster_state.hpp"
#include "wire/messages.hpp"

namespace cranklock::testing {

class WorkerStandIn {
 public:
  struct Task {
    std::uint64_t attempt;
    wire::TaskState state;
    wire::ExitReason exit_reason;
    double since;
  };

  /// What its tasks are part of.
  class TaskEnvironment {
   public:
    TaskEnvironment() = default;
    TaskEnvironment(const TaskEnvironment&) = delete;
    TaskEnvironment& operator=(const TaskEnvironment&) = delete;
    virtual ~TaskEnvironment() = default;
    virtual double fetch_s(const wire::TaskName& task) const = 0;
    virtual double run_s(const wire::TaskName& task) const = 0;
    /// Its result was kept: it is over as soon as it has its image.
    virtual bool is_completed(const wire::TaskName& task) const = 0;
    virtual void on_start_command(const wire::TaskName& task) = 0;
    /// It has its image. False: it waits for the rest of its gang.
    virtual bool starts(const WorkerStandIn& worker, const wire::TaskName& task) = 0;
    /// Whether all of the gang have come to wait.
    virtual bool gang_complete(const wire::TaskName& task, std::uint64_t attempt) const = 0;
    virtual void completed(const wire::TaskName& task) = 0;
    /// It was submitted with a mistake, or its machine is faulty: it ends with an error.
    virtual bool fails(const WorkerStandIn&, const wire::TaskName&) const { return false; }
  };

  std::string id, address;
  sched::MachineKind kind{"g8", "a", false};
  std::uint64_t agent_epoch = 1, sequence = 0, fencing_token = 0;
  double answered_sent = 0;  ///< sending of the last heartbeat that was answered
  double began = 0;
  std::map<std::string, Task> tasks;
  std::optional<double> preemption_notice_s;  ///< until the cloud takes it, as its heartbeats say

  /// Lets time pass: images arrive, tasks begin and complete. True when something has changed.
  bool progress(TaskEnvironment& environment, double now);
  bool lease_over(double lease_s, double now) const { return now - answered_sent > lease_s; }
  /// Kills and forgets everything if its lease is over.
  void end_lease(double lease_s, double now);
  void execute(const wire::Json& commands, TaskEnvironment& environment, double now);
  /// The next heartbeat's body.
  std::string heartbeat();
  /// Answers POST /commands.
  net::Response commands(const net::Request& request, TaskEnvironment& environment, double now);
};

}  // namespace cranklock::testing
