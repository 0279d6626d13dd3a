// Reads job records anew of which the leader's cluster state may be wrong.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "base/settings.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Records that somebody else has changed, or that were seen in part only. Until such a record has
/// been read it is not written. Each is read by itself, so that one that can't be had holds up
/// neither the others nor decisions.
class RecordReloader {
 public:
  /// `put` takes what was read into the cluster state; `changed` is set after it. All that is
  /// referred to outlives the reloader.
  RecordReloader(net::Reactor& reactor, const base::Settings& settings, store::Client& store,
                 sched::ClusterState& cluster, std::function<void(sched::Job)> put,
                 net::Signal& changed);

  void request(const std::string& id);
  bool is_requested(const std::string& id) const { return requested_.contains(id); }
  /// Reads what is requested, for ever.
  net::Task<void> run();

  /// Reads one record now; false if it could not be had. A job without one is dropped.
  net::Task<bool> reload(std::string id);
  /// Adds the parts of a record to the job; false if they can't be had or are of another write.
  net::Task<bool> read_parts(sched::Job& job);

 private:
  net::Task<void> reload_requested(std::string id);

  const base::Settings& settings_;
  store::Client& store_;
  sched::ClusterState& cluster_;
  std::function<void(sched::Job)> put_;
  net::Signal& changed_;
  net::Signal due_;
  std::set<std::string> requested_;
  std::set<std::string> reading_;
  net::Scope scope_;  ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
