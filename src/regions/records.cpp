#include "regions/records.hpp"

#include "wire/json.hpp"

namespace cranklock::regions {
namespace {

constexpr const char* kAmountsField = "amounts";
constexpr const char* kCounterField = "n";
constexpr const char* kTeamField = "team";
constexpr const char* kFounderField = "region";
constexpr std::size_t kSequenceDigits = 20;  // of the largest 64-bit number

void write_amounts(wire::JsonWriter& writer, const Amounts& amounts) {
  writer.key(kAmountsField).list();
  for (const auto value : amounts.values()) writer.integer(value);
  writer.list_end();
}

std::optional<Amounts> read_amounts(const wire::Json& object) {
  const wire::Json* list = wire::find(object, kAmountsField);
  if (list == nullptr || !list->IsArray() || list->Size() != kResources) return std::nullopt;
  Amounts::Values values{};
  for (std::size_t i = 0; i < kResources; ++i) {
    const auto& item = (*list)[static_cast<rapidjson::SizeType>(i)];
    if (!item.IsInt64() || item.GetInt64() < 0) return std::nullopt;
    values[i] = item.GetInt64();
  }
  return Amounts(values);
}

}  // namespace

std::string share_key(const std::string& team) {
  return kSharesPrefix + team;
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

std::string write_share(const Amounts& amounts) {
  wire::JsonWriter writer;
  writer.begin();
  write_amounts(writer, amounts);
  writer.end();
  return writer.take();
}

std::optional<Amounts> read_share(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? read_amounts(document.root()) : std::nullopt;
}

std::string write_counter(std::uint64_t value) {
  wire::JsonWriter writer;
  writer.begin().key(kCounterField).count(value).end();
  return writer.take();
}

std::optional<std::uint64_t> read_counter(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? wire::read_count(document.root(), kCounterField) : std::nullopt;
}

std::string write_transfer(const ShareTransfer& transfer) {
  wire::JsonWriter writer;
  writer.begin().key(kCounterField).count(transfer.sequence).key(kTeamField).text(transfer.team);
  write_amounts(writer, transfer.amounts);
  writer.end();
  return writer.take();
}

std::optional<ShareTransfer> read_transfer(std::string_view text) {
  const wire::JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  const auto sequence = wire::read_count(document.root(), kCounterField);
  const auto team = wire::read_text(document.root(), kTeamField);
  const auto amounts = read_amounts(document.root());
  if (!sequence || !team || !amounts) return std::nullopt;
  return ShareTransfer{*sequence, *team, *amounts};
}

std::string write_founder(const std::string& region) {
  wire::JsonWriter writer;
  writer.begin().key(kFounderField).text(region).end();
  return writer.take();
}

std::optional<std::string> read_founder(std::string_view text) {
  const wire::JsonDocument document(text);
  return document.is_object() ? wire::read_text(document.root(), kFounderField) : std::nullopt;
}

}  // namespace cranklock::regions
