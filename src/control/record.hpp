// How jobs stand in the state service.
//   jobs/<id>      a live job: what was submitted, what is done, where its tasks are
//   parts/<id>/<n> what does not fit there; written in the same transaction, so of the same
//   revision ended/<id>     how it ended; kept for ever and never changed leader         who leads,
//   under a lease; its revision is the fencing token pools/<name>   the scaler's count and scale
//   time types the machine types last heard of
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sched/cluster_state.hpp"
#include "wire/messages.hpp"

namespace cranklock::control {

inline constexpr double kStoreTimeout = 2.0;  ///< of a leader's requests to the state service

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kTypesKey = "types";
inline constexpr const char* kJobsPrefix = "jobs/";
inline constexpr const char* kPoolsPrefix = "pools/";
std::string job_key(const std::string& id);
/// The job whose live record stands under this key.
std::string job_of_key(const std::string& key);
std::string outcome_key(const std::string& id);
std::string part_key(const std::string& id, int part);

/// The texts of the main value and of its parts, none longer than `max_bytes`.
///
/// A job that needs others stands under another name in its record. A controller of a version from
/// before such jobs takes the record for malformed and leaves it alone, where it would otherwise
/// start the job's tasks too early and write the record again without what it needs (invariant 15).
std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes);
/// Reads the main value; `parts` says how many more there are.
std::optional<sched::Job> read_record(const std::string& text, int& parts);
/// Adds a part's lists. False if it is malformed or of another write than the main value;
/// `same_revision` decides where neither tells its generation.
bool read_part(const std::string& text, bool same_revision, sched::Job& job);
/// When the job of a stored record was cancelled; 0: it was not.
std::int64_t read_cancelled_at_ms(const std::string& text);

struct JobOutcome {
  wire::JobState state = wire::JobState::done;
  std::uint32_t tasks = 0;  ///< that were done
  /// Time of day of the write, where jobs waited for this one; 0: not kept. Their own times count
  /// from there. Readers of versions from before it ignore it.
  std::int64_t ended_ms = 0;
};
std::string write_outcome(const JobOutcome& outcome);
std::optional<JobOutcome> read_outcome(const std::string& text);

struct LeaderRecord {
  std::string name, nonce;
};
std::string write_leader(const LeaderRecord& leader);
std::optional<LeaderRecord> read_leader(const std::string& text);

}  // namespace cranklock::control
