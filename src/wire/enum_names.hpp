// Names of enum values in the protocol. For use within src/wire only.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "wire/json.hpp"

namespace cranklock::wire {

template <typename Enum, std::size_t Count>
using EnumNames = std::array<std::pair<Enum, std::string_view>, Count>;

/// Returns an empty text for a value without a name in the protocol.
template <typename Enum, std::size_t Count>
std::string_view name_of(const EnumNames<Enum, Count>& names, Enum value) {
  for (const auto& [candidate, name] : names) {
    if (candidate == value) return name;
  }
  return "";
}

/// Returns none if the field is absent, not a string, or not a name of a value of this enum.
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
