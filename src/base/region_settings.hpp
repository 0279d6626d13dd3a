// Which regions serve the same teams, as the operator's XML names them.
#pragma once

#include <string>
#include <vector>

namespace pugi {
class xml_node;
}

namespace cranklock::base {

/// One controller of a region, and where leaders of other regions reach it ("10.0.0.1:7300").
struct RegionController {
  std::string member, address;
};

struct Region {
  std::string name;
  /// Part of each team's guarantee and limit that the bootstrap region gives it at first, from 0
  /// to 1. A region that is added later has 0 and asks for what it needs.
  double initial_share = 0;
  std::vector<RegionController> controllers;
};

/// Empty unless the operator's XML names regions; then team limits are shared between them
/// (docs/regions.md).
struct RegionSettings {
  std::string self;              ///< the region of this controller
  std::string bootstrap_region;  ///< the only one that ever makes quotas out of the teams' limits
  std::vector<Region> regions;

  bool enabled() const { return !regions.empty(); }
  /// Nullptr when no region has this name.
  const Region* find(const std::string& name) const;
  /// Where this controller listens for other regions; empty when its own region does not list it.
  std::string listen_address(const std::string& member) const;
};

/// Reads `<regions self bootstrap region><region name quota><controller member address/>...`.
/// Throws SettingsError naming `path`, the field and what was expected.
RegionSettings read_region_settings(const pugi::xml_node& element, const std::string& path);

}  // namespace cranklock::base
