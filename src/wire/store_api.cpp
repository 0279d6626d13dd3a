#include "wire/store_api.hpp"

#include <utility>

#include "wire/json.hpp"

namespace cranklock::wire {
namespace {

std::optional<StoredValue> read_stored_value(const Json& object) {
  const auto key = read_text(object, "K");
  const auto revision = read_count(object, "Mark");
  const Json* data = find(object, "Data");
  if (!key || !revision || data == nullptr) return std::nullopt;
  return StoredValue{*key, to_text(*data), *revision};
}

/// Reads a write or a removal.
std::optional<StoredValue> read_change(const Json& object) {
  const auto revision = read_count(object, "Mark");
  const auto written = read_text(object, "Write");
  const auto removed = read_text(object, "Remove");
  const Json* data = find(object, "Data");
  if (!revision || (!written && !removed)) return std::nullopt;
  if (!written) return StoredValue{*removed, "", *revision};
  if (data == nullptr) return std::nullopt;
  return StoredValue{*written, to_text(*data), *revision};
}

void write_mutation(JsonWriter& writer, const Mutation& mutation) {
  writer.begin_object();
  if (mutation.is_removal()) {
    writer.key("Remove").text(mutation.key);
  } else {
    writer.key("Write").text(mutation.key);
    writer.key("Data").raw(mutation.data);
    if (mutation.lease != 0) writer.key("Hold").count(mutation.lease);
  }
  writer.end_object();
}

/// `list`: name of the field with the items.
template <typename ReadItem>
std::optional<RangePage> read_page(const Json& object, const char* list, ReadItem&& read_item) {
  auto items = read_list<StoredValue>(object, list, read_item);
  const auto revision = read_count(object, "LedgerTurn");
  if (!items || !revision) return std::nullopt;
  return RangePage{std::move(*items), false, *revision};
}

}  // namespace

std::string compare_and_swap_request(const std::vector<Compare>& compares,
                                     const std::vector<Mutation>& mutations) {
  JsonWriter writer;
  writer.begin_object().key("If").begin_array();
  for (const auto& compare : compares) {
    writer.begin_object()
        .key("K")
        .text(compare.key)
        .key("Mark")
        .count(compare.revision)
        .end_object();
  }
  writer.end_array().key("Then").begin_array();
  for (const auto& mutation : mutations) write_mutation(writer, mutation);
  writer.end_array().end_object();
  return writer.take();
}

std::optional<CompareAndSwapResponse> parse_compare_and_swap_response(std::string_view body) {
  return parse_object(body, [](const Json& object) -> std::optional<CompareAndSwapResponse> {
    const auto revision = read_count(object, "LedgerTurn");
    if (!revision) return std::nullopt;
    return CompareAndSwapResponse{
        *revision, read_texts(object, "failed").value_or(std::vector<std::string>{})};
  });
}

std::optional<StoredValue> parse_stored_value(std::string_view body) {
  return parse_object(body, read_stored_value);
}

std::optional<std::uint64_t> parse_revision(std::string_view body) {
  return parse_object(body, [](const Json& object) { return read_count(object, "LedgerTurn"); });
}

std::optional<RangePage> parse_range_response(std::string_view body) {
  return parse_object(body, [](const Json& object) {
    auto page = read_page(object, "Rows", read_stored_value);
    if (page) page->more = read_flag(object, "HasNext").value_or(false);
    return page;
  });
}

std::optional<RangePage> parse_watch_response(std::string_view body) {
  return parse_object(body,
                      [](const Json& object) { return read_page(object, "News", read_change); });
}

std::string range_query(std::string_view prefix, std::string_view after, int max_items) {
  std::string query = "Under=" + std::string(prefix) + "&Most=" + std::to_string(max_items);
  if (!after.empty()) query.append("&Since=").append(after);
  return query;
}

std::string watch_query(std::string_view prefix, std::uint64_t since, int wait_ms) {
  return "Under=" + std::string(prefix) + "&Since=" + std::to_string(since) +
         "&HoldMs=" + std::to_string(wait_ms);
}

std::string lease_request(int ttl_ms) {
  JsonWriter writer;
  writer.begin_object().key("LifeMs").integer(ttl_ms).end_object();
  return writer.take();
}

std::optional<std::uint64_t> parse_lease_id(std::string_view body) {
  return parse_object(body, [](const Json& object) { return read_count(object, "Hold"); });
}

}  // namespace cranklock::wire
