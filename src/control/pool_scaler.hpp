// The scaler's steps: reads the pools, rents what they lack and returns what they don't need.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "control/leader_lease.hpp"
#include "control/services.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"
#include "sched/scaler.hpp"

namespace cranklock::control {

/// Carries out what `sched::Pool` decides. The count and scale time of each pool are written only
/// when they change; a refused scale-out request stamps the scale time like a granted one.
/// Scale-out requests are named by fencing token and sequence, and one that is not answered is
/// asked again under its name (invariant 8).
class PoolScaler {
 public:
  /// What it needs of the term that it serves.
  struct Callbacks {
    std::function<bool()> is_lost;
    std::function<void(sched::Machine& machine, const char* why)> terminate;
    std::function<bool(const std::string& machine)> is_deleted;
  };

  /// Made when the term begins. All that is referred to outlives the scaler.
  PoolScaler(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
             net::Signal& work, Callbacks callbacks);

  /// Reads what is stored of the pools; false when the state service did not let it.
  net::Task<bool> load();
  /// Takes readings and steps, for ever.
  net::Task<void> run();

  /// What the last placement pass that was not cut short found missing.
  void set_shortfall(sched::Shortfall shortfall) { shortfall_ = std::move(shortfall); }
  const sched::Shortfall& shortfall() const { return shortfall_; }
  /// Kinds that the cloud lately had none of, and until when they are passed over.
  const std::map<sched::MachineKind, double>& refused_until() const { return refused_until_; }

 private:
  void forget_refusals(double at);
  net::Task<void> request_machines(sched::MachineKind kind, int count);
  void scale_out(const sched::PoolId& pool, int machines);
  int scale_in(const sched::PoolId& pool, int machines);
  net::Task<void> write_pool(std::string name);
  double now() const { return services_.reactor.now(); }

  Services services_;
  const LeaderLease& leader_lease_;
  sched::ClusterState& cluster_;
  net::Signal& work_;
  Callbacks callbacks_;
  double term_started_at_;
  bool first_ever_ = false;  ///< no leader before has stored a pool
  std::map<std::string, sched::Pool> pools_;
  std::map<std::string, std::uint64_t> pool_revisions_;
  std::map<sched::MachineKind, double> refused_until_;
  sched::Shortfall shortfall_;
  std::uint64_t request_sequence_ = 0;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
