#include "control/job_record.hpp"

#include <cstdlib>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/client_api.hpp"
#include "wire/json.hpp"

namespace cranklock::control {

using wire::Json;
using wire::JsonDocument;
using wire::JsonWriter;

namespace {

constexpr const char* kSpecField = "job";
constexpr const char* kDependentSpecField = "dependent";  ///< spec of a job with dependencies
constexpr const char* kCreatedField = "at";               ///< time of day in ms
constexpr const char* kCancelledField = "w";              ///< time of day in ms; 0: not cancelled
constexpr const char* kLastAttemptField = "n";
constexpr const char* kGenerationField = "g";
constexpr const char* kDoneField = "d";        ///< list of ranges [first task, end]
constexpr const char* kPlacementsField = "p";  ///< list of [task, attempt, machine]
constexpr const char* kPartCountField = "parts";

constexpr std::uint64_t kMaxParts = 64;

/// A field name as it appears in a value. This text cannot occur within a JSON string, where quotes
/// are escaped.
std::string field_text(const char* field) {
  return std::string("\"") + field + "\":";
}

// ---- writing ----

/// A list field of a record, and the number of its items written so far.
struct ItemList {
  const char* field;
  std::vector<std::string> items;  ///< as JSON
  std::size_t written = 0;

  bool is_written() const { return written == items.size(); }
};

ItemList format_done(const sched::Job& job) {
  ItemList list{kDoneField, {}};
  for (const auto& [first, end] : job.done.ranges()) {
    list.items.push_back("[" + std::to_string(first) + "," + std::to_string(end) + "]");
  }
  return list;
}

ItemList format_placements(const sched::Job& job) {
  ItemList list{kPlacementsField, {}};
  for (const auto& placement : job.placements) {
    if (!placement.is_recorded()) continue;
    list.items.push_back("[" + std::to_string(placement.task) + "," +
                         std::to_string(placement.attempt) + ",\"" + placement.machine + "\"]");
  }
  return list;
}

/// Kept free in each value for brackets, field names, the part count, and a cancellation time in
/// place of the 0.
constexpr std::size_t kReservedBytes = 64;
/// Of a main value after its fixed part, if all items are in parts.
constexpr std::size_t kEmptyListsBytes = std::string_view(R"(,"d":[],"p":[],"parts":64})").size();

/// Appends a list field with as many items as fit into the value, possibly none.
void append_list(std::string& value, ItemList& list, std::size_t max_bytes) {
  value += "," + field_text(list.field) + "[";
  bool is_first = true;
  while (!list.is_written() &&
         value.size() + list.items[list.written].size() + kReservedBytes < max_bytes) {
    if (!is_first) value += ",";
    is_first = false;
    value += list.items[list.written++];
  }
  value += "]";
}

/// The main value up to its lists, without the closing brace.
std::string begin_main_value(const sched::Job& job, const wire::JobSpec& spec,
                             std::uint64_t generation) {
  JsonWriter writer;
  writer.begin_object().key(spec.dependencies.empty() ? kSpecField : kDependentSpecField);
  wire::write_job(writer, spec);
  writer.key(kCreatedField).integer(job.created_ms);
  writer.key(kCancelledField).integer(job.cancelled_at_ms);
  writer.key(kLastAttemptField).count(job.last_attempt);
  writer.key(kGenerationField).count(generation);
  writer.end_object();
  std::string value = writer.take();
  value.pop_back();
  return value;
}

void end_main_value(std::string& value, std::size_t part_count) {
  value += "," + field_text(kPartCountField) + std::to_string(part_count) + "}";
}

/// The lists of a job as they are distributed over the values of its record.
struct Lists {
  ItemList done, placements;

  explicit Lists(const sched::Job& job)
      : done(format_done(job)), placements(format_placements(job)) {}
  void append_to(std::string& value, std::size_t max_bytes) {
    append_list(value, done, max_bytes);
    append_list(value, placements, max_bytes);
  }
  bool are_written() const { return done.is_written() && placements.is_written(); }
  /// Parts for the items that are not written yet.
  std::vector<std::string> take_parts(std::uint64_t generation, std::size_t max_bytes) {
    std::vector<std::string> parts;
    while (!are_written()) {
      std::string part = "{" + field_text(kGenerationField) + std::to_string(generation);
      append_to(part, max_bytes);
      parts.push_back(part + "}");
    }
    return parts;
  }
};

/// Removes what is of no use once a job is cancelled: no task of it will be placed again.
void strip_for_cancellation(wire::JobSpec& spec) {
  spec.dependencies.clear();
  spec.types.clear();
  spec.zone.clear();
  spec.deadline_s.reset();
}

/// Shortens texts that may not be empty. They only label a cancelled job.
void shorten_labels(wire::JobSpec& spec) {
  constexpr const char* kNoLabel = "-";
  spec.job_class = kNoLabel;
  spec.image = kNoLabel;
}

// ---- parsing ----

bool read_done(const Json& list, sched::Job& job) {
  if (!list.IsArray()) return false;
  for (const auto& range : list.GetArray()) {
    if (!range.IsArray() || range.Size() != 2) return false;
    if (!range[0].IsUint() || !range[1].IsUint()) return false;
    job.done.add_range({range[0].GetUint(), range[1].GetUint()});
  }
  return true;
}

bool read_placements(const Json& list, sched::Job& job) {
  if (!list.IsArray()) return false;
  for (const auto& item : list.GetArray()) {
    if (!item.IsArray() || item.Size() != 3) return false;
    if (!item[0].IsUint() || !item[1].IsUint64() || !item[2].IsString()) return false;
    sched::Placement placement;
    placement.task = item[0].GetUint();
    placement.attempt = item[1].GetUint64();
    placement.machine = item[2].GetString();
    placement.write = sched::PlacementWrite::durable;
    job.placements.push_back(std::move(placement));
  }
  return true;
}

/// Adds the lists of a main value or of a part; returns the error if one is malformed.
std::optional<RecordError> add_lists(const Json& value, sched::Job& job) {
  const Json* done = wire::find(value, kDoneField);
  if (done != nullptr && !read_done(*done, job)) return malformed_field(kDoneField).error;
  const Json* placements = wire::find(value, kPlacementsField);
  if (placements != nullptr && !read_placements(*placements, job)) {
    return malformed_field(kPlacementsField).error;
  }
  return std::nullopt;
}

}  // namespace

std::vector<std::string> write_record(const sched::Job& job, std::size_t max_bytes) {
  // The revision that a write is conditional on identifies the write: at most one write per
  // revision succeeds.
  const std::uint64_t generation = job.record.revision;
  std::string main_value = begin_main_value(job, job.spec, generation);
  const bool has_started = job.last_attempt > 0;
  if (has_started && main_value.size() + kReservedBytes > max_bytes) {
    wire::JobSpec spec = job.spec;
    spec.dependencies.clear();
    std::string shorter = begin_main_value(job, spec, generation);
    if (shorter.size() + kEmptyListsBytes <= max_bytes) main_value = std::move(shorter);
  }
  Lists lists(job);
  lists.append_to(main_value, max_bytes);
  std::vector<std::string> values = lists.take_parts(generation, max_bytes);
  end_main_value(main_value, values.size());
  values.insert(values.begin(), std::move(main_value));
  return values;
}

bool fits_for_life(const sched::Job& job, std::size_t max_bytes) {
  // Longer than the numbers that a job's record ever holds.
  constexpr std::uint64_t kLargestAttempt = 9'999'999'999;
  constexpr std::uint64_t kLargestRevision = 999'999'999'999'999;
  sched::Job running = job;
  running.last_attempt = kLargestAttempt;
  running.record.revision = kLargestRevision;
  running.placements.emplace_back();  // in a part, if the main value has no room
  return write_record(job, max_bytes)[0].size() <= max_bytes &&
         write_record(running, max_bytes)[0].size() <= max_bytes;
}

RecordResult<sched::Job> read_record(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return not_an_object();
  const Json& value = document.root();
  const Json* spec = wire::find(value, kSpecField);
  if (spec == nullptr) spec = wire::find(value, kDependentSpecField);
  if (spec == nullptr) return malformed_field(kSpecField);
  const auto created_ms = wire::read_amount(value, kCreatedField);
  if (!created_ms) return malformed_field(kCreatedField);
  const auto cancelled_at_ms = wire::read_amount(value, kCancelledField);
  if (!cancelled_at_ms) return malformed_field(kCancelledField);
  const auto last_attempt = wire::read_count(value, kLastAttemptField);
  if (!last_attempt) return malformed_field(kLastAttemptField);
  const auto part_count = wire::read_count(value, kPartCountField);
  if (!part_count || *part_count > kMaxParts) return malformed_field(kPartCountField);
  auto parsed = wire::parse_job(*spec);
  if (!parsed) return malformed_field(kSpecField);

  sched::Job job;
  job.spec = std::move(*parsed);
  job.created_ms = static_cast<std::int64_t>(*created_ms);
  job.cancelled_at_ms = static_cast<std::int64_t>(*cancelled_at_ms);
  job.last_attempt = *last_attempt;
  job.record.generation = wire::read_count(value, kGenerationField).value_or(0);
  job.record.parts = static_cast<int>(*part_count);
  if (const auto error = add_lists(value, job)) return base::Failure(*error);
  return job;
}

PartStatus add_part(const std::string& text, std::uint64_t revision, sched::Job& job) {
  const JsonDocument document(text);
  if (!document.is_object()) return PartStatus::malformed;
  // A cancellation rewrites only the main value, so its revision may be newer than its parts'.
  const auto generation = wire::read_count(document.root(), kGenerationField).value_or(0);
  const bool same_write =
      generation != 0 ? generation == job.record.generation : revision == job.record.revision;
  if (!same_write) return PartStatus::different_write;
  return add_lists(document.root(), job) ? PartStatus::malformed : PartStatus::added;
}

std::int64_t read_cancelled_at_ms(const std::string& text) {
  const std::string field = field_text(kCancelledField);
  const auto position = text.rfind(field);
  if (position == std::string::npos) return 0;
  return std::strtoll(text.c_str() + position + field.size(), nullptr, 10);
}

RecordResult<std::optional<CancelledRecord>> cancel_record(const std::string& main_value,
                                                           std::uint64_t revision,
                                                           std::int64_t cancelled_at_ms,
                                                           std::size_t max_bytes) {
  using Cancelled = std::optional<CancelledRecord>;
  auto unchanged = with_cancellation(main_value, cancelled_at_ms);
  if (!unchanged) return base::Failure(unchanged.error());
  if (unchanged->size() <= max_bytes) return Cancelled({std::move(*unchanged), 0, {}});
  auto job = read_record(main_value);
  if (!job) return base::Failure(job.error());
  // Parts of versions before generations are valid only beside the revision of their main value.
  const int old_parts = job->record.parts;
  if (job->record.generation == 0 && old_parts > 0) return Cancelled();
  const std::uint64_t generation = job->record.generation != 0 ? job->record.generation : revision;
  job->cancelled_at_ms = cancelled_at_ms;
  strip_for_cancellation(job->spec);
  std::string value = begin_main_value(*job, job->spec, generation);
  if (value.size() + kReservedBytes > max_bytes) {
    shorten_labels(job->spec);
    value = begin_main_value(*job, job->spec, generation);
  }
  Lists lists(*job);
  lists.append_to(value, max_bytes);
  CancelledRecord cancelled{"", old_parts, lists.take_parts(generation, max_bytes)};
  const std::size_t parts = static_cast<std::size_t>(old_parts) + cancelled.new_parts.size();
  end_main_value(value, parts);
  if (value.size() > max_bytes || parts > kMaxParts) return Cancelled();
  cancelled.main_value = std::move(value);
  return Cancelled(std::move(cancelled));
}

RecordResult<std::string> with_cancellation(std::string text, std::int64_t cancelled_at_ms) {
  const std::string field = field_text(kCancelledField);
  const std::string not_cancelled = field + "0";
  const auto position = text.rfind(not_cancelled);
  if (position == std::string::npos) return malformed_field(kCancelledField);
  text.replace(position, not_cancelled.size(), field + std::to_string(cancelled_at_ms));
  return text;
}

}  // namespace cranklock::control
