// What is stored of a job, for the users' interface of any node.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/recent_map.hpp"
#include "control/small_records.hpp"
#include "net/task.hpp"
#include "sched/job.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Seconds that a request of a user may wait for the state service; users wait 2 s for a status.
inline constexpr double kUserTimeout = 1.5;

/// A job wherever it stands.
struct StoredJob {
  enum class Kind { live, ended, absent, unclear };
  Kind kind = Kind::unclear;  ///< unclear: the state service did not say
  sched::Job job;             ///< of a live one, without what stands in parts of its record
  std::string text;           ///< the live record as stored
  JobOutcome outcome;

  /// A task of it was placed. It can't have been before all jobs that it needs were done.
  bool started() const {
    return !job.placements.empty() || job.done.size() > 0 || job.stored_parts > 0;
  }
  bool cancelled() const {
    return kind == Kind::live ? job.cancelled()
                              : kind == Kind::ended && outcome.state == wire::JobState::cancelled;
  }
};

/// Reads jobs from the state service and remembers outcomes, which never change.
class JobLookup {
 public:
  /// `state_reached` says whether the state service has answered this node lately.
  JobLookup(store::Client& store, std::function<bool()> state_reached)
      : store_(store), state_reached_(std::move(state_reached)), outcomes_(kMaxOutcomes) {}

  net::Task<StoredJob> find(std::string id);
  /// Null when it is not remembered.
  const JobOutcome* known_outcome(const std::string& id) const;
  bool state_reached() const { return state_reached_(); }

 private:
  /// Outcomes remembered, some 150 bytes each. One that is forgotten costs a read when it is asked
  /// for.
  static constexpr std::size_t kMaxOutcomes = 4096;

  store::Client& store_;
  std::function<bool()> state_reached_;
  base::RecentMap<JobOutcome> outcomes_;
};

}  // namespace cranklock::control
