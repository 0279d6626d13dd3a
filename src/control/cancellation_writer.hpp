// Writes the cancellation of a live job into its record; available on every node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "control/job_lookup.hpp"
#include "control/job_record.hpp"
#include "control/services.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Marks stored jobs as cancelled, by compare-and-swap on the record's revision.
class CancellationWriter {
 public:
  explicit CancellationWriter(Services services) : services_(services) {}

  /// Marks a live record as cancelled, and makes it smaller if it would not fit otherwise
  /// (cancel_record). `precondition_failed`: the record has changed. `rejected` with `too_large`:
  /// the limits of the store are lower than this node took them for; a repeat writes less.
  /// Otherwise `rejected`: not written, or the record can't be made small enough.
  net::Task<store::CompareAndSwapResult> write(std::string id, const StoredJob& found);

 private:
  /// Writes new parts of a record, of this revision, until the others and the main value fit into
  /// one transaction; removes them from the record. Readers ignore them until the main value counts
  /// them.
  net::Task<store::CompareAndSwapResult> write_first_parts(const std::string& id,
                                                           std::uint64_t revision,
                                                           CancelledRecord& record);
  /// Applies the mutations if the job's record has this revision.
  net::Task<store::CompareAndSwapResult> compare_and_swap(std::string id, std::uint64_t revision,
                                                          std::vector<wire::Mutation> mutations);

  Services services_;
};

}  // namespace cranklock::control
