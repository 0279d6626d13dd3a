#include "control/small_records.hpp"

#include <optional>
#include <string_view>

#include "wire/json.hpp"

namespace cranklock::control {

using wire::JobState;
using wire::JsonDocument;
using wire::JsonWriter;

namespace {

constexpr const char* kOutcomeStateField = "s";
constexpr const char* kOutcomeTasksField = "n";
constexpr const char* kOutcomeEndedField = "t";  ///< time of day in ms
constexpr std::string_view kDoneState = "done";
constexpr std::string_view kCancelledState = "withdrawn";

constexpr const char* kLeaderNodeField = "node";
constexpr const char* kLeaderNonceField = "nonce";

constexpr const char* kPoolCountField = "count";
constexpr const char* kPoolScaledField = "scaled";  ///< time of day in ms

std::optional<JobState> parse_outcome_state(std::string_view text) {
  if (text == kDoneState) return JobState::done;
  if (text == kCancelledState) return JobState::cancelled;
  return std::nullopt;
}

}  // namespace

std::string write_outcome(const JobOutcome& outcome) {
  JsonWriter writer;
  writer.begin_object();
  writer.key(kOutcomeStateField)
      .text(outcome.state == JobState::done ? kDoneState : kCancelledState);
  writer.key(kOutcomeTasksField).count(outcome.tasks);
  if (outcome.ended_ms != 0) writer.key(kOutcomeEndedField).integer(outcome.ended_ms);
  writer.end_object();
  return writer.take();
}

RecordResult<JobOutcome> read_outcome(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return not_an_object();
  const auto state_text = wire::read_text(document.root(), kOutcomeStateField);
  const auto state = state_text ? parse_outcome_state(*state_text) : std::nullopt;
  if (!state) return malformed_field(kOutcomeStateField);
  const auto tasks = wire::read_count(document.root(), kOutcomeTasksField);
  if (!tasks) return malformed_field(kOutcomeTasksField);
  const auto ended_ms = wire::read_amount(document.root(), kOutcomeEndedField).value_or(0);
  return JobOutcome{*state, static_cast<std::uint32_t>(*tasks),
                    static_cast<std::int64_t>(ended_ms)};
}

std::string write_leader(const LeaderRecord& leader) {
  JsonWriter writer;
  writer.begin_object();
  writer.key(kLeaderNodeField).text(leader.name);
  writer.key(kLeaderNonceField).text(leader.nonce);
  writer.end_object();
  return writer.take();
}

RecordResult<LeaderRecord> read_leader(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return not_an_object();
  const auto name = wire::read_text(document.root(), kLeaderNodeField);
  if (!name) return malformed_field(kLeaderNodeField);
  const auto nonce = wire::read_text(document.root(), kLeaderNonceField);
  if (!nonce) return malformed_field(kLeaderNonceField);
  return LeaderRecord{*name, *nonce};
}

std::string write_pool(const sched::PoolState& pool) {
  JsonWriter writer;
  writer.begin_object();
  writer.key(kPoolCountField).integer(pool.target_machines);
  writer.key(kPoolScaledField).integer(pool.last_scaled_ms);
  writer.end_object();
  return writer.take();
}

RecordResult<sched::PoolState> read_pool(const std::string& text) {
  const JsonDocument document(text);
  if (!document.is_object()) return not_an_object();
  sched::PoolState pool;
  pool.target_machines =
      static_cast<int>(wire::read_amount(document.root(), kPoolCountField).value_or(0));
  pool.last_scaled_ms =
      static_cast<std::int64_t>(wire::read_amount(document.root(), kPoolScaledField).value_or(0));
  return pool;
}

}  // namespace cranklock::control
