// The stored records of one value each: the outcome of a job, the leader, and the state of a pool.
#pragma once

#include <cstdint>
#include <string>

#include "control/record_error.hpp"
#include "sched/scaler.hpp"
#include "wire/client_api.hpp"

namespace cranklock::control {

/// The terminal state of a job. Its record is written once and never changes.
struct JobOutcome {
  wire::JobState state = wire::JobState::done;  ///< done or cancelled
  std::uint32_t tasks = 0;                      ///< that were done
  /// Time of day of the write, kept where jobs waited for this one, whose own times count from
  /// there; 0: not kept. Readers of versions from before it ignore it.
  std::int64_t ended_ms = 0;
};
std::string write_outcome(const JobOutcome& outcome);
RecordResult<JobOutcome> read_outcome(const std::string& text);

/// The node that holds the leadership.
struct LeaderRecord {
  std::string name;   ///< of the node
  std::string nonce;  ///< unique for each attempt to take the leadership, to recognise one's own
};
std::string write_leader(const LeaderRecord& leader);
RecordResult<LeaderRecord> read_leader(const std::string& text);

std::string write_pool(const sched::PoolState& pool);
/// An absent field counts as 0: the pool was never scaled.
RecordResult<sched::PoolState> read_pool(const std::string& text);

}  // namespace cranklock::control
