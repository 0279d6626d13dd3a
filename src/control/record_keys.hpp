// Keys of the state that the controllers of a region share in the key-value store. The header in
// parentheses declares the format of the value.
//
// - jobs/<id>: specification, progress and placements of a live job (job_record.hpp).
// - parts/<id>/<n>: completed task ranges and placements that do not fit into jobs/<id>; written in
//   the same compare-and-swap as jobs/<id> (job_record.hpp).
// - ended/<id>: outcome of an ended job; never changed or deleted (small_records.hpp).
// - leader: the current leader, attached to the leader lease; the revision of this key is the
//   fencing token (small_records.hpp).
// - pools/<name>: machine count and last scaling time of a pool (small_records.hpp).
// - types: machine types from the latest cloud listing (wire/cloud_api.hpp).
// - moves/...: the move plan, and the switch that disables moves (move_service.hpp).
// - regions/...: quota of this region and transfers between regions (regions/records.hpp).
//
// Controllers of other versions read and write the same keys and values (invariant 15): names must
// not change.
#pragma once

#include <string>

namespace cranklock::control {

inline constexpr const char* kLeaderKey = "leader";
inline constexpr const char* kTypesKey = "types";
inline constexpr const char* kJobsPrefix = "jobs/";
inline constexpr const char* kPoolsPrefix = "pools/";

/// Key of the main value of a live job's record.
std::string job_key(const std::string& job_id);
/// Inverse of `job_key`; `key` must start with kJobsPrefix.
std::string job_id_from_key(const std::string& key);
/// Key of a job's outcome.
std::string outcome_key(const std::string& job_id);
/// Key of one part of a job's record; parts are numbered from 0.
std::string part_key(const std::string& job_id, int part);
/// Key of a pool's record.
std::string pool_key(const std::string& pool_name);
/// Inverse of `pool_key`; `key` must start with kPoolsPrefix.
std::string pool_name_from_key(const std::string& key);

}  // namespace cranklock::control
