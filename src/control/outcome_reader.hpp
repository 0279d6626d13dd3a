// Reads how jobs ended that live ones need, where the leader has not seen it itself.
#pragma once

#include <map>
#include <set>
#include <string>

#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// After a take-over, and for jobs submitted after the end of what they need. Each outcome is read
/// once for all jobs that need it, a few at a time, beside everything else that the leader does. A
/// job whose needs are not all known waits, and holds up no other (invariant 14).
class OutcomeReader {
 public:
  /// `changed` is set when an outcome has been taken in. All outlive the reader.
  OutcomeReader(net::Reactor& reactor, store::Client& store, sched::ClusterState& cluster,
                net::Signal& changed)
      : reactor_(reactor), store_(store), cluster_(cluster), changed_(changed) {}

  /// Begins to read what is not known. To be called again and again: a read that failed is repeated
  /// only then, after a pause.
  void read_unknown();

 private:
  net::Task<void> read_one(std::string id);

  net::Reactor& reactor_;
  store::Client& store_;
  sched::ClusterState& cluster_;
  net::Signal& changed_;
  std::set<std::string> reading_;
  std::map<std::string, double> retry_at_;  ///< by job whose outcome was not found
  net::Scope scope_;                        ///< last, so that its routines end before what they use
};

}  // namespace cranklock::control
