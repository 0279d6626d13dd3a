// Commands sent straight to workers' addresses, beside the answers to their heartbeats.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/leader_lease.hpp"
#include "control/services.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

/// Sends starts and stops as soon as they are due, and shows a new leader's fencing token to
/// workers that do not report to it. What is sent and not answered may still be executed: the
/// placement then stays in doubt for the worker's agent epoch (invariant 5).
class CommandSender {
 public:
  /// What it needs of the term that it serves.
  struct Callbacks {
    std::function<bool()> is_lost;
    std::function<void(const char* why)> lose;  ///< a worker has seen a higher fencing token
    std::function<void()> on_agent_message;
    std::function<bool(const std::string& machine)> is_deleted;
  };

  /// Made when the term begins. All that is referred to outlives the sender.
  CommandSender(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
                net::Signal& work, Callbacks callbacks);

  /// Sends what is due to each worker that is not being called already.
  void send_commands();
  /// Shows our fencing token to workers that have not shown it, for ever. From then on they drop a
  /// former leader's answers, and their leases are ours to time.
  net::Task<void> announce_fencing_token();

 private:
  net::Task<void> send_to(std::string machine);
  std::vector<wire::Command> take_due_commands(sched::Machine& machine);
  void resolve_starts(sched::Machine& machine, std::uint64_t agent_epoch,
                      const std::vector<wire::Command>& commands,
                      const std::optional<wire::Heartbeat>& heartbeat);
  net::Task<void> send_fencing_token(std::string machine);
  double now() const { return services_.reactor.now(); }
  /// Guards the sockets against hung machines by the hundred, each of which holds one until its
  /// call's time is over.
  std::size_t max_calls() const {
    return static_cast<std::size_t>(services_.settings.fd_limit) / 8;
  }

  Services services_;
  const LeaderLease& leader_lease_;
  sched::ClusterState& cluster_;
  net::Signal& work_;
  Callbacks callbacks_;
  double term_started_at_;
  std::set<std::string> calling_;  ///< workers under way
  std::map<std::string, double>
      announced_at_;  ///< when workers were last told of our fencing token
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
