// The stored record of a live job: a main value, and parts for list items that do not fit into it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
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
///
/// If the specification leaves no room for the rest of the main value, the dependencies of a job
/// that has had a task placed are omitted: they are known to be done, and an outcome never changes
/// (invariant 14).
std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes);

/// Whether every record that the job may need, from its acceptance to its outcome, can be stored in
/// values of at most `max_bytes`. `job` is to be stored for the first time.
bool fits_for_life(const sched::Job& job, std::size_t max_bytes);

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

/// The values that cancel a job. Its other parts stay as they are.
struct CancelledRecord {
  std::string main_value;
  int first_new_part = 0;
  /// Parts to be added, for list items that no longer fit into the main value.
  std::vector<std::string> new_parts;
};

/// Cancels the job of a stored main value that is not cancelled, in values of at most `max_bytes`.
///
/// Only the cancellation time changes if the value then fits, so that its parts stay valid. If not,
/// what no cancelled job needs is omitted (dependencies, constraints on machines, deadline, names
/// of class and image), and list items are moved to new parts. All versions read the result
/// (invariant 15). `revision` is that of the main value. The error names a malformed field; nullopt
/// as value: the record can't be made smaller.
RecordResult<std::optional<CancelledRecord>> cancel_record(const std::string& main_value,
                                                           std::uint64_t revision,
                                                           std::int64_t cancelled_at_ms,
                                                           std::size_t max_bytes);

/// Sets the cancellation time in the main value of a job that is not cancelled. Nothing else
/// changes, so the parts stay valid.
RecordResult<std::string> with_cancellation(std::string text, std::int64_t cancelled_at_ms);

}  // namespace cranklock::control
