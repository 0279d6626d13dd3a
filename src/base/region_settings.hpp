// Settings of the regions that share team quotas, from the operator's XML.
#pragma once

#include <string>
#include <vector>

namespace pugi {
class xml_node;
}

namespace cranklock::base {

/// A controller of a region and the address at which leaders of other regions connect to it
/// ("10.0.0.1:7300").
struct RegionController {
  std::string member, address;
};

struct Region {
  std::string name;
  /// Share (0 to 1) of each team's guarantee and limit that the bootstrap region assigns to this
  /// region initially. A region that is added later has 0 and requests the quota it needs.
  double initial_share = 0;
  std::vector<RegionController> controllers;
};

/// Regions of the operator's XML, which share the team limits (docs/regions.md). Empty if the XML
/// has none.
struct RegionSettings {
  std::string self;              ///< region of this controller
  std::string bootstrap_region;  ///< the only region that creates quota from the teams' limits
  std::vector<Region> regions;

  bool enabled() const { return !regions.empty(); }
  /// Returns nullptr if no region has this name.
  const Region* find(const std::string& name) const;
  /// Address at which the given controller of this region accepts connections of other regions;
  /// empty if this region does not list it.
  std::string listen_address(const std::string& member) const;
};

/// Reads `<regions self founder><region name share><controller member address/>...`.
/// Throws SettingsError that names `path`, the field and the expected value.
RegionSettings read_region_settings(const pugi::xml_node& element, const std::string& path);

}  // namespace cranklock::base
