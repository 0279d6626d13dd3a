// The stored record of a live job: a main value, and parts for what does not fit into it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control/record_error.hpp"
#include "sched/job.hpp"

namespace cranklock::control {

/// Formats a job's record: first the main value, then its parts, none longer than `max_bytes`
/// unless the main value exceeds that without any list already.
///
/// A job with dependencies has its specification under another field name. A controller of a
/// version from before dependencies takes the record for malformed and leaves it alone, where it
/// would otherwise start the job's tasks too early and write the record again without its
/// dependencies (invariant 15).
std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes);

/// Parses a main value. `stored_parts` of the job says how many parts belong to it; their lists are
/// to be added with `add_part`.
RecordResult<sched::Job> read_record(const std::string& text);

enum class PartStatus {
  added,
  malformed,
  of_another_write,  ///< than the main value, which was written again while parts were read
};

/// Adds the lists of a part to the job that was read from the main value. A part belongs to the
/// main value if both carry the same generation; where the part carries none, if `revision`, the
/// part's, is the main value's. After any other status than `added` the job is incomplete and must
/// be discarded.
PartStatus add_part(const std::string& text, std::uint64_t revision, sched::Job& job);

/// The time of day at which the job of a main value was cancelled; 0: it was not. Does not parse
/// the value, as the leader looks into every change.
std::int64_t read_cancelled_at_ms(const std::string& text);

/// The main value of a job that is not cancelled, with the time of a cancellation set and nothing
/// else changed, so that its parts stay valid.
RecordResult<std::string> with_cancellation(std::string text, std::int64_t cancelled_at_ms);

}  // namespace cranklock::control
