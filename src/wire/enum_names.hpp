// The protocol's words for the values of an enum. Used inside this package only.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/json.hpp"

namespace cranklock::wire {

template <typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// Empty for a value that the protocol has no word for.
template <typename Enum, std::size_t Count>
std::string_view name_of(const EnumNames<Enum, Count>& names, Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) return name;
  }
  return "";
}

/// None if the field is absent, no text, or no word that the protocol has for this enum.
template <typename Enum, std::size_t Count>
std::optional<Enum> read_enum(const EnumNames<Enum, Count>& names, const Json& object,
                              const char* field) {
  const Json* json = find(object, field);
  if (json == nullptr || !json->IsString()) return std::nullopt;
  const std::string_view text(json->GetString(), json->GetStringLength());
  for (const auto& [value, name] : names) {
    if (name == text) return value;
  }
  return std::nullopt;
}

}  // namespace cranklock::wire
