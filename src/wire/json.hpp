// Helpers for RapidJSON: a writer that produces a string, and checked reads. A field that is null
// is treated as absent.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cranklock::wire {

using Json = rapidjson::Value;

/// Writes one JSON value as text without whitespace. Calls can be chained and append in sequence.
class JsonWriter {
 public:
  JsonWriter& begin_object() { return writer_.StartObject(), *this; }
  JsonWriter& end_object() { return writer_.EndObject(), *this; }
  JsonWriter& begin_array() { return writer_.StartArray(), *this; }
  JsonWriter& end_array() { return writer_.EndArray(), *this; }
  JsonWriter& key(std::string_view name) {
    writer_.Key(name.data(), static_cast<rapidjson::SizeType>(name.size()));
    return *this;
  }
  JsonWriter& text(std::string_view value) {
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }
  JsonWriter& count(std::uint64_t value) { return writer_.Uint64(value), *this; }
  JsonWriter& integer(std::int64_t value) { return writer_.Int64(value), *this; }
  JsonWriter& amount(double value) { return writer_.Double(value), *this; }
  JsonWriter& flag(bool value) { return writer_.Bool(value), *this; }
  JsonWriter& null() { return writer_.Null(), *this; }
  /// Writes a value that is already JSON text.
  JsonWriter& raw(std::string_view value) {
    writer_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
    return *this;
  }
  /// Returns the text; the writer must not be used afterwards.
  std::string take() { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

/// A parsed document; `ok` is false if the text is not JSON. Parsing is iterative, so deep nesting
/// can't exhaust the stack.
class JsonDocument {
 public:
  explicit JsonDocument(std::string_view text) {
    document_.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  }
  bool ok() const { return !document_.HasParseError(); }
  bool is_object() const { return ok() && document_.IsObject(); }
  const Json& root() const { return document_; }

 private:
  rapidjson::Document document_;
};

/// Returns the field; nullptr if it is absent or null, or if `object` is not an object.
const Json* find(const Json& object, const char* field);

// These return none if the field is absent or of another type.
std::optional<std::string> read_text(const Json& object, const char* field);
/// A finite number.
std::optional<double> read_amount(const Json& object, const char* field);
/// A whole number of at least 0.
std::optional<std::uint64_t> read_count(const Json& object, const char* field);
std::optional<bool> read_flag(const Json& object, const char* field);
std::optional<std::vector<std::string>> read_texts(const Json& object, const char* field);

/// Reads an array with `read_item`, which returns an optional; none if the field is not an array or
/// `read_item` fails for an item.
template <typename Item, typename ReadItem>
std::optional<std::vector<Item>> read_list(const Json& object, const char* field,
                                           ReadItem&& read_item) {
  const Json* list = find(object, field);
  if (list == nullptr || !list->IsArray()) return std::nullopt;
  std::vector<Item> items;
  for (const auto& json : list->GetArray()) {
    std::optional<Item> item = read_item(json);
    if (!item) return std::nullopt;
    items.push_back(std::move(*item));
  }
  return items;
}

/// Parses a JSON object and reads it with `read`, which returns an optional; none if the text is
/// not a JSON object or `read` fails.
template <typename Read>
auto parse_object(std::string_view text, Read&& read)
    -> decltype(read(std::declval<const Json&>())) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  return read(document.root());
}

/// Returns the value as JSON text.
std::string to_text(const Json& value);

}  // namespace cranklock::wire
