// The stored record of a live job: a main value, and parts for list items that do not fit into it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/record_error.hpp"
#include "sched/job.hpp"

namespace cranklock::control {

/// Formats a job's record: the main value, followed by its parts. None is longer than `max_bytes`,
/// except for a main value that already exceeds it with empty lists.
///
/// The specification of a job with dependencies is stored under another field name. A controller
/// version without support for dependencies then treats the record as malformed and leaves it
/// unchanged. Otherwise it would start the tasks too early and rewrite the record without the
/// dependencies (invariant 15).
std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes);

/// Parses a main value. `record.parts` of the result is the number of parts that belong to it; the
/// caller adds their lists with `add_part`.
RecordResult<sched::Job> read_record(const std::string& text);

enum class PartStatus {
  added,
  malformed,
  different_write,  ///< the main value was written again while the parts were read
};

/// Adds the lists of a part to the job parsed from the main value. A part belongs to the main value
/// if both have the same generation or, for a part without a generation, if `revision` (the part's)
/// equals the main value's. On any status but `added` the job is incomplete and must be discarded.
PartStatus add_part(const std::string& text, std::uint64_t revision, sched::Job& job);

/// The time of day, in milliseconds, at which the job of a main value was cancelled; 0: not
/// cancelled. Searches the text instead of parsing it, because the leader calls this for every
/// change.
std::int64_t read_cancelled_at_ms(const std::string& text);

/// Sets the cancellation time in the main value of a job that is not cancelled. Nothing else
/// changes, so the parts stay valid.
RecordResult<std::string> with_cancellation(std::string text, std::int64_t cancelled_at_ms);

}  // namespace cranklock::control
