#include "control/cancellation_writer.hpp"

#include <algorithm>
#include <utility>

#include "control/record_keys.hpp"

namespace cranklock::control {

using net::Task;
using store::CompareAndSwapResult;
using store::Status;

namespace {

/// The mutations that write the first new parts, at most so many; removes them from the record.
std::vector<wire::Mutation> take_parts(const std::string& id, CancelledRecord& record,
                                       std::size_t max_count) {
  const std::size_t count = std::min(max_count, record.new_parts.size());
  std::vector<wire::Mutation> mutations;
  for (std::size_t i = 0; i < count; ++i) {
    mutations.push_back({part_key(id, record.first_new_part), std::move(record.new_parts[i]), 0});
    ++record.first_new_part;
  }
  record.new_parts.erase(record.new_parts.begin(),
                         record.new_parts.begin() + static_cast<std::ptrdiff_t>(count));
  return mutations;
}

}  // namespace

Task<CompareAndSwapResult> CancellationWriter::write(std::string id, const StoredJob& found) {
  const std::uint64_t revision = found.job.record.revision;
  auto cancelled = cancel_record(found.main_value, revision, services_.reactor.wall_ms(),
                                 services_.store.max_value_bytes());
  CompareAndSwapResult rejected;
  rejected.status = Status::rejected;
  if (!cancelled || !*cancelled) co_return rejected;
  CancelledRecord& record = **cancelled;
  auto writing_parts = write_first_parts(id, revision, record);
  auto parts_written = co_await writing_parts;
  if (parts_written.status != Status::ok) co_return parts_written;
  auto mutations = take_parts(id, record, record.new_parts.size());
  mutations.push_back({job_key(id), std::move(record.main_value), 0});
  auto writing = compare_and_swap(std::move(id), revision, std::move(mutations));
  auto written = co_await writing;
  co_return written;
}

Task<CompareAndSwapResult> CancellationWriter::write_first_parts(const std::string& id,
                                                                 std::uint64_t revision,
                                                                 CancelledRecord& record) {
  const std::size_t max_mutations = services_.store.max_mutations();
  CompareAndSwapResult written;
  written.status = Status::ok;
  while (written.status == Status::ok && record.new_parts.size() + 1 > max_mutations) {
    auto writing = compare_and_swap(id, revision, take_parts(id, record, max_mutations));
    written = co_await writing;
  }
  co_return written;
}

Task<CompareAndSwapResult> CancellationWriter::compare_and_swap(
    std::string id, std::uint64_t revision, std::vector<wire::Mutation> mutations) {
  std::vector<wire::Compare> compares{{job_key(id), revision}};
  auto writing =
      services_.store.compare_and_swap(std::move(compares), std::move(mutations),
                                       kClientRequestTimeoutS, store::Client::Priority::user);
  auto written = co_await writing;
  co_return written;
}

}  // namespace cranklock::control
