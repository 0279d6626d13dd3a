// Stored records that consist of a single value: job outcome, leader and pool state.
#pragma once

#include <cstdint>
#include <string>

#include "control/record_error.hpp"
#include "sched/scaler.hpp"
#include "wire/client_api.hpp"

namespace cranklock::control {

/// The terminal state of a job. The record is written once and never changes.
struct JobOutcome {
  wire::JobState state = wire::JobState::done;  ///< done or cancelled
  std::uint32_t tasks = 0;                      ///< completed tasks
  /// Time of day when the outcome was written, from which the waiting time of dependents counts.
  /// 0: not stored, as the job had no dependents. Older versions ignore the field.
  std::int64_t ended_ms = 0;
};
std::string write_outcome(const JobOutcome& outcome);
RecordResult<JobOutcome> read_outcome(const std::string& text);

/// The current leader.
struct LeaderRecord {
  std::string name;   ///< of the leader's node
  std::string nonce;  ///< unique per election attempt, so that a node recognises its own record
};
std::string write_leader(const LeaderRecord& leader);
RecordResult<LeaderRecord> read_leader(const std::string& text);

std::string write_pool(const sched::PoolState& pool);
/// A missing field is read as 0; `last_scaled_ms` 0 means that the pool was never scaled.
RecordResult<sched::PoolState> read_pool(const std::string& text);

}  // namespace cranklock::control
