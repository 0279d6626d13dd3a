// Checked reading of TOML files.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "base/settings.hpp"

namespace cranklock::base {

/// Throws SettingsError with the line where the file is not TOML.
inline toml::table parse_toml(const std::string& path) {
  try {
    return toml::parse_file(path);
  } catch (const toml::parse_error& e) {
    throw SettingsError(path + ": line " + std::to_string(e.source().begin.line) +
                        ": expected TOML: " + std::string(e.description()));
  }
}

/// Reads the fields of a table. What is missing or wrong ends in a SettingsError that names the
/// file, the field with the tables around it, and what was expected.
class TomlReader {
 public:
  TomlReader(const toml::table& table, std::string file, std::string prefix)
      : table_(table), file_(std::move(file)), prefix_(std::move(prefix)) {}

  [[noreturn]] void fail(const std::string& field, const std::string& expected) const {
    throw SettingsError(file_ + ": " + prefix_ + field + ": expected " + expected);
  }
  std::string text(const char* field) const {
    const auto v = table_[field].value_exact<std::string>();
    if (!v || v->empty()) fail(field, "a non-empty string");
    return *v;
  }
  double number(const char* field, double least, bool above = false) const {
    const auto v = table_[field].value<double>();
    if (!v || *v < least || (above && *v <= least)) {
      fail(field,
           std::string("a number ") + (above ? "above " : "of at least ") + std::to_string(least));
    }
    return *v;
  }
  int count(const char* field, int least) const {
    const auto v = table_[field].value<std::int64_t>();
    if (!v || *v < least || *v > 1'000'000'000) {
      fail(field, "a whole number of at least " + std::to_string(least));
    }
    return static_cast<int>(*v);
  }
  bool flag(const char* field) const {
    const auto v = table_[field].value_exact<bool>();
    if (!v) fail(field, "true or false");
    return *v;
  }
  TomlReader table(const char* field) const {
    const auto* t = table_[field].as_table();
    if (t == nullptr) fail(field, "a table");
    return {*t, file_, prefix_ + field + "."};
  }
  void each(const char* field, const std::function<void(const TomlReader&)>& use) const {
    const auto node = table_[field];
    if (!node) return;
    const auto* list = node.as_array();
    if (list == nullptr) fail(field, "a list of tables");
    int index = 0;
    for (const auto& item : *list) {
      const auto* t = item.as_table();
      const std::string here = std::string(field) + "[" + std::to_string(index++) + "]";
      if (t == nullptr) fail(here, "a table");
      use(TomlReader(*t, file_, prefix_ + here + "."));
    }
  }
  std::vector<std::string> texts(const char* field) const {
    const auto* list = table_[field].as_array();
    if (list == nullptr) fail(field, "a list of strings");
    std::vector<std::string> out;
    for (const auto& item : *list) {
      const auto v = item.value_exact<std::string>();
      if (!v) fail(field, "a list of strings");
      out.push_back(*v);
    }
    return out;
  }
  bool has(const char* field) const { return static_cast<bool>(table_[field]); }

 private:
  const toml::table& table_;
  std::string file_, prefix_;
};

}  // namespace cranklock::base
