// A reader of stored records with the requirements and limits of the version in production.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "wire/json.hpp"

namespace cranklock::testing {

/// Whether the production version accepts a main value. The required fields are taken from its
/// sources; it leaves any other record unchanged as malformed.
inline bool older_version_reads(const std::string& text) {
  const wire::JsonDocument document(text);
  if (!document.is_object()) return false;
  const wire::Json& record = document.root();
  const wire::Json* job = wire::find(record, "job");
  const auto parts = wire::read_count(record, "parts");
  if (job == nullptr || !wire::read_amount(record, "at") || !wire::read_amount(record, "w")) {
    return false;
  }
  if (!wire::read_count(record, "n") || !parts || *parts > 64) return false;
  for (const char* text_field : {"Id", "Gear", "Crew", "Shape", "Rank", "Cast"}) {
    if (!wire::read_text(*job, text_field)) return false;
  }
  for (const char* amount :
       {"Cpus", "Accelerators", "MemGb", "SizeGb", "ExpectS", "NotchS", "StowS"}) {
    if (!wire::read_amount(*job, amount)) return false;
  }
  for (const char* flag : {"OneZone", "Apart", "Loaners"}) {
    if (!wire::read_flag(*job, flag)) return false;
  }
  return wire::read_count(*job, "Teeth").has_value();
}

/// Number of placements that the older version reads from a main value and its parts; -1 if a part
/// belongs to another write or a placement does not have the three required fields.
inline int placements_of_older_version(const std::vector<std::string>& values) {
  int placements = 0;
  std::uint64_t main_generation = 0;
  for (std::size_t i = 0; i < values.size(); ++i) {
    const wire::JsonDocument document(values[i]);
    const auto generation = wire::read_count(document.root(), "g").value_or(0);
    if (i == 0) main_generation = generation;
    if (generation != main_generation) return -1;
    const wire::Json* list = wire::find(document.root(), "p");
    if (list == nullptr) continue;
    for (const auto& placement : list->GetArray()) {
      if (placement.Size() != 3 || !placement[0].IsUint() || !placement[1].IsUint64() ||
          !placement[2].IsString()) {
        return -1;
      }
      ++placements;
    }
  }
  return placements;
}

}  // namespace cranklock::testing
