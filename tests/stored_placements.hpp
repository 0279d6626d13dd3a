// What a new leader would read: the placements in the records of the state service.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "state_stand_in.hpp"
#include "wire/types.hpp"

namespace cranklock::testing {

/// Sums the stored placements by team. Parses each record only when it has changed.
class StoredPlacements {
 public:
  using Values = std::map<std::string, StateStandIn::Stored>;

  /// The resources of each team's placements, except those of cancelled jobs: no leader starts
  /// them.
  std::map<std::string, wire::Resources> use_by_team(const Values& values);

 private:
  struct Record {
    std::uint64_t revision = 0;
    std::string team;
    wire::Resources use;
  };
  static Record read(const std::string& id, const Values& values);

  std::map<std::string, Record> records_;  ///< by key
};

}  // namespace cranklock::testing
