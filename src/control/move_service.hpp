// The leader's moves around fragments: their record in the state service, and the router's drains.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "control/leader_lease.hpp"
#include "control/services.hpp"
#include "defrag/move_executor.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"

namespace cranklock::control {

inline constexpr const char* kMovesKey = "moves/record";
/// While this key exists, in whatever form, no plan begins and no task is stopped for one. The
/// operator writes and removes it.
inline constexpr const char* kMovesOffKey = "moves/off";

/// Gives the executor its time, writes what it wants stored, and carries its drains to the router.
///
/// Every write is conditional on the leader's key, on the record's revision and, where a plan
/// stands in it, on `moves/off` not existing. One that is not answered is unknown: it is written
/// again under the same condition until one of the two is through (invariant 1).
class MoveService {
 public:
  /// What it needs of the term that it serves.
  struct Callbacks {
    std::function<bool()> is_lost;
    std::function<void(const char* why)> lose;
  };

  /// Made when a term begins. All that is referred to outlives it. `work` is set when placement has
  /// something to look at.
  MoveService(Services services, const LeaderLease& lease, sched::ClusterState& cluster,
              net::Signal& work, Callbacks callbacks);

  /// Reads the record; false when the state service did not let it.
  net::Task<bool> load();
  /// Plans, goes on with plans and writes them down, for ever.
  net::Task<void> run();
  /// Something has happened that a move may wait for.
  void wake() { due_.set(); }

 private:
  net::Task<void> write();
  net::Task<void> read_revision();
  net::Task<void> drain(defrag::DrainRequest request);
  void look();
  void log_plans();
  double now() const { return services_.reactor.now(); }
  std::int64_t wall_ms() const { return services_.reactor.wall_ms(); }

  Services services_;
  const LeaderLease& leader_lease_;
  sched::ClusterState& cluster_;
  net::Signal& work_;
  Callbacks callbacks_;
  defrag::MoveExecutor executor_;
  net::Signal due_;
  std::uint64_t revision_ = 0;  ///< of the record as last known; 0: there is none
  bool is_unknown_ = false;     ///< a write was not answered
  double write_after_ = 0;      ///< the state service has refused a write
  double look_after_ = 0;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
