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
    if (placement.ended || placement.abandoned()) continue;
    list.items.push_back("[" + std::to_string(placement.task) + "," +
                         std::to_string(placement.attempt) + ",\"" + placement.machine + "\"]");
  }
  return list;
}

/// Appends a list field with as many items as fit into the value, possibly none.
void append_list(std::string& value, ItemList& list, std::size_t max_bytes) {
  // Kept free for brackets, field names, the part count, and a cancellation time in place of the 0.
  constexpr std::size_t kReservedBytes = 64;
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
std::string begin_main_value(const sched::Job& job) {
  JsonWriter writer;
  writer.begin_object().key(job.spec.dependencies.empty() ? kSpecField : kDependentSpecField);
  wire::write_job(writer, job.spec);
  writer.key(kCreatedField).integer(job.created_ms);
  writer.key(kCancelledField).integer(job.cancelled_at_ms);
  writer.key(kLastAttemptField).count(job.last_attempt);
  // The revision that a write is conditional on identifies the write: at most one write per
  // revision succeeds.
  writer.key(kGenerationField).count(job.record.revision);
  writer.end_object();
  std::string value = writer.take();
  value.pop_back();
  return value;
}

/// A part up to its lists, without the closing brace.
std::string begin_part(const sched::Job& job) {
  return "{" + field_text(kGenerationField) + std::to_string(job.record.revision);
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
  ItemList done = format_done(job);
  ItemList placements = format_placements(job);
  std::string main_value = begin_main_value(job);
  append_list(main_value, done, max_bytes);
  append_list(main_value, placements, max_bytes);
  std::vector<std::string> parts;
  while (!done.is_written() || !placements.is_written()) {
    std::string part = begin_part(job);
    append_list(part, done, max_bytes);
    append_list(part, placements, max_bytes);
    parts.push_back(part + "}");
  }
  main_value += "," + field_text(kPartCountField) + std::to_string(parts.size()) + "}";
  parts.insert(parts.begin(), std::move(main_value));
  return parts;
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

RecordResult<std::string> with_cancellation(std::string text, std::int64_t cancelled_at_ms) {
  const std::string field = field_text(kCancelledField);
  const std::string not_cancelled = field + "0";
  const auto position = text.rfind(not_cancelled);
  if (position == std::string::npos) return malformed_field(kCancelledField);
  text.replace(position, not_cancelled.size(), field + std::to_string(cancelled_at_ms));
  return text;
}

}  // namespace cranklock::control
