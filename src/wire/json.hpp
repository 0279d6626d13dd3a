// Small helpers over RapidJSON: a writer that ends as a string, and checked reads. Absent fields
// and fields that are null are the same.
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

/// Writes one JSON value as text, without blanks. Calls chain; their order is that of the text.
class JsonWriter {
 public:
  JsonWriter& begin() { return writer_.StartObject(), *this; }
  JsonWriter& end() { return writer_.EndObject(), *this; }
  JsonWriter& list() { return writer_.StartArray(), *this; }
  JsonWriter& list_end() { return writer_.EndArray(), *this; }
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
  /// A value that is JSON already.
  JsonWriter& raw(std::string_view value) {
    writer_.RawValue(value.data(), value.size(), rapidjson::kObjectType);
    return *this;
  }
  /// The text; the writer is of no further use.
  std::string take() { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

/// A parsed document, or nothing if the text is not JSON. Nesting is bounded by iterative parsing.
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

/// The field, or a null pointer if it is absent, null, or `object` is no object.
const Json* find(const Json& object, const char* field);

// Each of these is none if the field is absent or not of the type.
std::optional<std::string> read_text(const Json& object, const char* field);
/// A finite number.
std::optional<double> read_amount(const Json& object, const char* field);
/// A whole number of at least 0.
std::optional<std::uint64_t> read_count(const Json& object, const char* field);
std::optional<bool> read_flag(const Json& object, const char* field);
std::optional<std::vector<std::string>> read_texts(const Json& object, const char* field);

/// Reads a list item by item with `read_item`, which returns an optional; none if the field is no
/// list or an item can't be read.
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

/// Parses a text that is an object and reads it with `read`, which returns an optional; none if the
/// text is not JSON, no object, or can't be read.
template <typename Read>
auto parse_object(std::string_view text, Read&& read)
    -> decltype(read(std::declval<const Json&>())) {
  const JsonDocument document(text);
  if (!document.is_object()) return std::nullopt;
  return read(document.root());
}

/// The value as JSON text.
std::string to_text(const Json& value);

}  // namespace cranklock::wire
