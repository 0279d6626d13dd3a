// The keys under which the controllers of a region keep their state in the key-value store, and the
// headers that declare their values.
//
// - jobs/<id>: a live job: its specification, progress and placements (job_record.hpp).
// - parts/<id>/<n>: the placements that do not fit there; written in the same compare-and-swap as
//   jobs/<id> (job_record.hpp).
// - ended/<id>: the outcome of a job that is over; kept for ever, never changed
// (small_records.hpp).
// - leader: the leader, under the lease of the leadership; the revision of this key is the fencing
//   token (small_records.hpp).
// - pools/<name>: machine count and time of the last scaling of a pool (small_records.hpp).
// - types: the machine types that the cloud listed last (wire/cloud_api.hpp).
// - moves/...: the plan of moves, and the switch that disables moves (move_service.hpp).
// - regions/...: quota of this region and transfers between regions (regions/records.hpp).
//
// Keys and values are shared with controllers of other versions (invariant 15): no name may change.
#pragma once

#include <string>

namespace cranklock::control {

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kTypesKey = "types";
inline constexpr const char* kJobsPrefix = "jobs/";
inline constexpr const char* kPoolsPrefix = "pools/";

/// The key of a live job's main value.
std::string job_key(const std::string& job_id);
/// The id of the job whose main value has this key, which begins with kJobsPrefix.
std::string job_of_key(const std::string& key);
/// The key of a job's outcome.
std::string outcome_key(const std::string& job_id);
/// The key of one part of a job's record; parts are numbered from 0.
std::string part_key(const std::string& job_id, int part);
/// The key of a pool's record.
std::string pool_key(const std::string& pool_name);
/// The name of the pool whose record has this key, which begins with kPoolsPrefix.
std::string pool_of_key(const std::string& key);

}  // namespace cranklock::control
