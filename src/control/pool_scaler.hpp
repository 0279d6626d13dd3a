// Scales machine pools out and in.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control/leader_context.hpp"
#include "control/machine_lifecycle.hpp"
#include "control/pool_store.hpp"
#include "control/scale_out_requester.hpp"
#include "control/zone_choice.hpp"
#include "net/task.hpp"
#include "sched/scaler.hpp"

namespace cranklock::control {

/// Executes the decisions of `sched::Pool`. The state of a pool is written only when it changes; a
/// refused scale-out request updates the scale time like a granted one.
class PoolScaler {
 public:
  /// Created when the leader term begins. All referenced objects must outlive it.
  PoolScaler(const LeaderContext& context, MachineLifecycle& machines)
      : context_(context), machines_(machines), requester_(context, machines), store_(context) {}

  /// Reads the stored state of the pools; returns false if the key-value store did not return it.
  net::Task<bool> load();
  /// Evaluates and scales the pools periodically until cancelled.
  net::Task<void> run();

  /// The shortfall of the last complete placement pass.
  void set_shortfall(sched::Shortfall shortfall) { shortfall_ = std::move(shortfall); }
  const sched::Shortfall& shortfall() const { return shortfall_; }
  /// Machine kinds that the cloud recently had too few of, and until when they are not requested,
  /// in steady seconds.
  const std::map<sched::MachineKind, double>& unavailable_until() const {
    return requester_.unavailable_until();
  }

 private:
  /// Scales all pools; returns the names of those whose state has changed.
  std::vector<std::string> scale_pools();
  void scale_pool(const sched::PoolId& id, const sched::PoolReading& reading, double now);
  void scale_out(const sched::PoolId& id, int machines);
  /// Returns how many machines it terminates, `machines` at most.
  int scale_in(const sched::PoolId& id, int machines);
  std::vector<sched::Machine*> idle_machines(const sched::PoolId& id);
  std::map<std::string, ZoneLoad> available_zones(const sched::PoolId& id) const;
  sched::Pool& pool(const std::string& name);

  const LeaderContext& context_;
  MachineLifecycle& machines_;
  ScaleOutRequester requester_;
  PoolStore store_;
  bool is_first_term_ = false;  ///< no earlier leader has stored a pool state
  std::map<std::string, sched::Pool> pools_;
  sched::Shortfall shortfall_;
};

}  // namespace cranklock::control
