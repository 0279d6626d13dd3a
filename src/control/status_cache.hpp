// Answers many questions about live jobs with few requests to the state service. What is known of
// each job is kept up to date by exchanges, each of which brings every change of jobs since the one
// before. An answer rests on an exchange that was sent after the question had come, so it is as new
// as a read of its own would be (invariant 13 in docs/design.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/event_rate.hpp"
#include "base/recent_map.hpp"
#include "base/settings.hpp"
#include "net/reactor.hpp"
#include "net/task.hpp"
#include "sched/cluster_state.hpp"
#include "store/client.hpp"

namespace cranklock::control {

/// What users are told of a live job.
struct JobStatus {
  wire::JobState state = wire::JobState::queued;
  std::uint64_t done = 0, running = 0;  ///< tasks
};
JobStatus status_of(const sched::Job& job);

class StatusCache {
 public:
  StatusCache(net::Reactor& reactor, const base::Settings& settings, store::Client& store)
      : reactor_(reactor),
        settings_(settings),
        store_(store),
        reads_(kRateWindow),
        jobs_(kMaxJobs) {}

  enum class Kind {
    known,        ///< live, with this status
    unknown,      ///< to be looked up: over, never accepted, or not known here
    unavailable,  ///< the state service did not answer
  };
  struct Found {
    Kind kind = Kind::unavailable;
    JobStatus status;
  };

  /// Notes a question. True when there are so many that shared exchanges cost less than a read for
  /// each.
  bool record_read();
  /// Waits for an exchange that is sent from now on.
  net::Task<Found> find(std::string id);
  /// Seconds between two exchanges: they take a quarter of this node's requests at most, and users
  /// wait for no more than an eighth of their patience.
  double interval() const;

 private:
  /// Over which the rate of questions is measured.
  static constexpr double kRateWindow = 2.0;
  /// Some 150 bytes each. A job that is forgotten costs a read when it is asked about.
  static constexpr std::size_t kMaxJobs = 16'384;
  /// An answer with all changes since the last exchange should be no longer than this.
  static constexpr double kMaxResponseKb = 1024;

  struct Entry {
    std::uint64_t revision = 0;
    std::optional<JobStatus> status;  ///< none: it has to be looked up
  };
  struct Running;

  net::Task<void> sync();
  net::Task<void> begin();
  net::Task<std::optional<std::uint64_t>> read_stored();
  net::Task<void> catch_up();
  void take_in(const std::vector<wire::StoredValue>& items);
  void wake_waiting();
  /// So long after an exchange, the next one's answer may be too large: all is read anew.
  double max_gap() const {
    return kMaxResponseKb / (settings_.state_write_rps * settings_.value_kb);
  }

  net::Reactor& reactor_;
  const base::Settings& settings_;
  store::Client& store_;
  base::EventRate reads_;
  base::RecentMap<Entry> jobs_;
  std::optional<std::uint64_t> revision_;  ///< up to which all changes were taken in
  std::optional<std::string> read_after_;  ///< the key after which stored jobs are still unread
  double sync_sent_at_ = -1e9;             ///< the last one, answered or not
  double caught_up_sent_ = -1e9;           ///< the last one whose changes were taken in
  double failed_sent_ = -1e9;              ///< the last one without an answer
  bool running_ = false;                   ///< one of those who wait carries an exchange out
  std::vector<net::Signal*> waiting_;      ///< the others
};

}  // namespace cranklock::control
