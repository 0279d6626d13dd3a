#include "regions/records.hpp"

#include "wire/json.hpp"

namespace cranklock::regions {
namespace {

constexpr const char* kQuotaField = "amounts";
constexpr const char* kCounterField = "n";
constexpr const char* kTeamField = "team";
constexpr const char* kBootstrapRegionField = "region";
constexpr std::size_t kSequenceDigits = 20;  // digits of the largest 64-bit number

void write_quota_field(wire::JsonWriter& writer, const QuotaAmounts& quota) {
  writer.key(kQuotaField).begin_array();
  for (const auto value : quota.values()) writer.integer(value);
  writer.end_array();
}

std::optional<QuotaAmounts> read_quota_field(const wire::Json& object) {
  const wire::Json* list = wire::find(object, kQuotaField);
  if (list == nullptr || !list->IsArray() || list->Size() != kResources) return std::nullopt;
  QuotaAmounts::Values values{};
  for (std::size_t i = 0; i < kResources; ++i) {
    const auto& item = (*list)[static_cast<rapidjson::SizeType>(i)];
    if (!item.IsInt64() || item.GetInt64() < 0) return std::nullopt;
    values[i] = item.GetInt64();
  }
  return QuotaAmounts(values);
}

}  // namespace

std::string quota_key(const std::string& team) {
  return kQuotaPrefix + team;
}

std::string sent_key(const std::string& region) {
  return kSentPrefix + region;
}

std::string received_key(const std::string& region) {
  return kReceivedPrefix + region;
}

std::string out_key(const std::string& region, std::uint64_t sequence) {
  const std::string digits = std::to_string(sequence);
  return kOutPrefix + region + "/" + std::string(kSequenceDigits - digits.size(), '0') + digits;
}

std::string write_quota(const QuotaAmounts& quota) {
  wire::JsonWriter writer;
  writer.begin_object();
  write_quota_field(writer, quota);
  writer.end_object();
  return writer.take();
}

std::optional<QuotaAmounts> read_quota(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? read_quota_field(document.root()) : std::nullopt;
}

std::string write_counter(std::uint64_t value) {
  wire::JsonWriter writer;
  writer.begin_object().key(kCounterField).count(value).end_object();
  return writer.take();
}

std::optional<std::uint64_t> read_counter(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? wire::read_count(document.root(), kCounterField) : std::nullopt;
}

std::string write_transfer(const QuotaTransfer& transfer) {
  wire::JsonWriter writer;
  writer.begin_object()
      .key(kCounterField)
      .count(transfer.sequence)
      .key(kTeamField)
      .text(transfer.team);
  write_quota_field(writer, transfer.quota);
  writer.end_object();
  return writer.take();
}

std::optional<QuotaTransfer> read_transfer(std::string_view text) {
  const wire::JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto sequence = wire::read_count(document.root(), kCounterField);
  const auto team = wire::read_text(document.root(), kTeamField);
  const auto quota = read_quota_field(document.root());
  if (!sequence || !team || !quota) return std::nullopt;
  return QuotaTransfer{*sequence, *team, *quota};
}

std::string write_bootstrap_region(const std::string& region) {
  wire::JsonWriter writer;
  writer.begin_object().key(kBootstrapRegionField).text(region).end_object();
  return writer.take();
}

std::optional<std::string> read_bootstrap_region(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? wire::read_text(document.root(), kBootstrapRegionField)
                              : std::nullopt;
}

}  // namespace cranklock::regions
