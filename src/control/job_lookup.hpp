// Looks up stored jobs for the HTTP API; available on every node.
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

/// Time limit for the key-value store accesses of a client's request; below the 2 s that clients
/// wait for a status.
inline constexpr double kClientRequestTimeoutS = 1.5;

/// The state of a job in the key-value store.
struct StoredJob {
  enum class State {
    absent,  ///< neither a live record nor an outcome
    live,
    ended,
  };
  State state = State::absent;
  /// Of a live job, without the lists in the parts of its record.
  sched::Job job;
  std::string main_value;  ///< of a live job's record, as stored
  JobOutcome outcome;      ///< of an ended job

  /// Whether any task of a live job was ever placed, which implies that all dependencies were done.
  bool started() const {
    return !job.placements.empty() || job.done.size() > 0 || job.record.parts > 0;
  }
  bool cancelled() const {
    if (state == State::live) return job.cancelled();
    return state == State::ended && outcome.state == wire::JobState::cancelled;
  }
};

/// Why a lookup failed. Neither error means that the job is absent.
enum class LookupError {
  store_unavailable,  ///< the key-value store did not answer, or is known to be unreachable
  record_malformed,   ///< the record cannot be parsed by this version
};

/// Reads jobs from the key-value store. Caches outcomes, which never change.
class JobLookup {
 public:
  /// `store_reachable` returns whether the key-value store has answered this node recently.
  JobLookup(store::Client& store, std::function<bool()> store_reachable)
      : store_(store), store_reachable_(std::move(store_reachable)), outcomes_(kMaxOutcomes) {}

  /// Looks up a job. The result is no older than this call (invariant 13).
  net::Task<base::Result<StoredJob, LookupError>> find(std::string id);
  /// The cached outcome of a job; null if it is not cached, whether or not one is stored.
  const JobOutcome* known_outcome(const std::string& id) const;
  bool store_reachable() const { return store_reachable_(); }

 private:
  /// Some 150 bytes each. A lookup of an evicted outcome costs a read.
  static constexpr std::size_t kMaxOutcomes = 4096;

  net::Task<base::Result<StoredJob, LookupError>> find_outcome(std::string id);

  store::Client& store_;
  std::function<bool()> store_reachable_;
  base::RecentMap<JobOutcome> outcomes_;
};

}  // namespace cranklock::control
