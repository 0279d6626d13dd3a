// Small helpers over RapidJSON: a writer that ends as a string, and checked reads.
#pragma once

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cranklock::wire {

using Json = rapidjson::Value;

class JsonWriter {
 public:
  JsonWriter& begin() { return writer_.StartObject(), *this; }
  JsonWriter& end() { return writer_.EndObject(), *this; }
  JsonWriter& list() { return writer_.StartArray(), *this; }
  JsonWriter& list_end() { return writer_.EndArray(), *this; }
  JsonWriter& key(std::string_view k) {
    writer_.Key(k.data(), static_cast<rapidjson::SizeType>(k.size()));
    return *this;
  }
  JsonWriter& text(std::string_view v) {
    writer_.String(v.data(), static_cast<rapidjson::SizeType>(v.size()));
    return *this;
  }
  JsonWriter& count(std::uint64_t v) { return writer_.Uint64(v), *this; }
  JsonWriter& integer(std::int64_t v) { return writer_.Int64(v), *this; }
  JsonWriter& amount(double v) { return writer_.Double(v), *this; }
  JsonWriter& flag(bool v) { return writer_.Bool(v), *this; }
  JsonWriter& null() { return writer_.Null(), *this; }
  /// A value that is JSON already.
  JsonWriter& raw(std::string_view v) {
    writer_.RawValue(v.data(), v.size(), rapidjson::kObjectType);
    return *this;
  }
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

/// The field, or null if absent or null.
const Json* find(const Json& object, const char* name);
std::optional<std::string> read_text(const Json& object, const char* name);
std::optional<double> read_amount(const Json& object, const char* name);
std::optional<std::uint64_t> read_count(const Json& object, const char* name);
std::optional<bool> read_flag(const Json& object, const char* name);
std::string to_text(const Json& value);

}  // namespace cranklock::wire
