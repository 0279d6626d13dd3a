// What is stored of a job, for the HTTP API of any node.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/recent_map.hpp"
#include "base/result.hpp"
#include "control/small_records.hpp"
#include "net/task.hpp"
#include "sched/job.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// Seconds that a client's request may wait for the key-value store; clients wait 2 s for a status.
inline constexpr double kUserTimeout = 1.5;

/// A job as the key-value store has it.
struct StoredJob {
  enum class State {
    absent,  ///< neither a live record nor an outcome
    live,
    ended,
  };
  State state = State::absent;
  /// Of a live job, without what stands in the parts of its record.
  sched::Job job;
  std::string main_value;  ///< of a live job's record, as stored
  JobOutcome outcome;      ///< of one that has ended

  /// Whether a task of a live job was placed. None can have been before all dependencies were done.
  bool started() const {
    return !job.placements.empty() || job.done.size() > 0 || job.record.parts > 0;
  }
  bool cancelled() const {
    if (state == State::live) return job.cancelled();
    return state == State::ended && outcome.state == wire::JobState::cancelled;
  }
};

/// Why it is not known whether a job is stored.
enum class LookupError {
  store_unavailable,  ///< the key-value store did not answer, or is not asked at present
  record_malformed,   ///< a record that this version can't read
};

/// Reads jobs from the key-value store, and remembers outcomes, which never change.
class JobLookup {
 public:
  /// `state_reached` says whether the key-value store has answered this node lately.
  JobLookup(store::Client& store, std::function<bool()> state_reached)
      : store_(store), state_reached_(std::move(state_reached)), outcomes_(kMaxOutcomes) {}

  /// Reads a job as it is stored at the earliest when this is called (invariant 13).
  net::Task<base::Result<StoredJob, LookupError>> find(std::string id);
  /// The outcome of a job; null when it is not remembered, whatever is stored.
  const JobOutcome* known_outcome(const std::string& id) const;
  bool state_reached() const { return state_reached_(); }

 private:
  /// Some 150 bytes each. One that is forgotten costs a read when it is asked for.
  static constexpr std::size_t kMaxOutcomes = 4096;

  net::Task<base::Result<StoredJob, LookupError>> find_outcome(std::string id);

  store::Client& store_;
  std::function<bool()> state_reached_;
  base::RecentMap<JobOutcome> outcomes_;
};

}  // namespace cranklock::control
