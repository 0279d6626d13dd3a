// Reads TOML files with validation of the fields.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/settings.hpp"

namespace cranklock::base {

/// Throws SettingsError with the line of the first syntax error.
inline toml::table parse_toml(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    throw SettingsError(path + ": line " + std::to_string(e.source().begin.line) +
                        ": expected TOML: " + std::string(e.description()));
  }
}

/// Reads the fields of a table. A missing or invalid field throws a SettingsError that names the
/// file, the full path of the field and the expected value.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  [[noreturn]] void fail(const std::string& field, const std::string& expected) const {
    throw SettingsError(file_ + ": " + prefix_ + field + ": expected " + expected);
  }
  std::string text(const char* field) const {
    const auto value = table_[field].value_exact<std::string>();
    if (!value || value->empty()) fail(field, "a non-empty string");
    return *value;
  }
  /// `exclusive`: the value must be above `min`, not equal to it.
  double number(const char* field, double min, bool exclusive = false) const {
    const auto value = table_[field].value<double>();
    if (!value || *value < min || (exclusive && *value <= min)) {
      fail(field, std::string("a number ") + (exclusive ? "above " : "of at least ") +
                      std::to_string(min));
    }
    return *value;
  }
  int count(const char* field, int min) const {
    const auto value = table_[field].value<std::int64_t>();
    if (!value || *value < min || *value > 1'000'000'000) {
      fail(field, "a whole number of at least " + std::to_string(min));
    }
    return static_cast<int>(*value);
  }
  bool flag(const char* field) const {
    const auto value = table_[field].value_exact<bool>();
    if (!value) fail(field, "true or false");
    return *value;
  }
  TomlReader table(const char* field) const {
    const auto* table = table_[field].as_table();
    if (table == nullptr) fail(field, "a table");
    return {*table, file_, prefix_ + field + "."};
  }
  /// Calls `read` for each table of an optional list of tables.
  void for_each_table(const char* field, const std::function<void(const TomlReader&)>& read) const {
    const auto node = table_[field];
    if (!node) return;
    const auto* list = node.as_array();
    if (list == nullptr) fail(field, "a list of tables");
    int index = 0;
    for (const auto& item : *list) {
      const auto* table = item.as_table();
      const std::string item_path = std::string(field) + "[" + std::to_string(index++) + "]";
      if (table == nullptr) fail(item_path, "a table");
      read(TomlReader(*table, file_, prefix_ + item_path + "."));
    }
  }
  std::vector<std::string> texts(const char* field) const {
    const auto* list = table_[field].as_array();
    if (list == nullptr) fail(field, "a list of strings");
    std::vector<std::string> values;
    for (const auto& item : *list) {
      const auto value = item.value_exact<std::string>();
      if (!value) fail(field, "a list of strings");
      values.push_back(*value);
    }
    return values;
  }
  bool has(const char* field) const { return static_cast<bool>(table_[field]); }

 private:
  const toml::table& table_;
  std::string file_, prefix_;
};

}  // namespace cranklock::base
