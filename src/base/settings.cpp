#include "base/settings.hpp"

#include <functional>
#include <map>
#include <pugixml.hpp>

#include "base/toml_reader.hpp"

namespace cranklock::base {
namespace {

/// Reads the limits that the key-value store will have later, and lowers the current ones to them.
/// Limits that do not change may be absent.
void read_announced_limits(const TomlReader& next, Settings& settings) {
  if (next.has("rps"))
    settings.state_rps = std::min(settings.state_rps, next.number("rps", 0, true));
  if (next.has("write_rps")) {
    settings.state_write_rps =
        std::min(settings.state_write_rps, next.number("write_rps", 0, true));
  }
  if (next.has("value_kb"))
    settings.value_kb = std::min(settings.value_kb, next.number("value_kb", 1));
  if (next.has("txn_ops")) settings.txn_ops = std::min(settings.txn_ops, next.count("txn_ops", 2));
}

void read_toml(const std::string& path, Settings& settings) {
  const toml::table root = parse_toml(path);
  const TomlReader top(root, path, "");
  settings.name = top.text("member");
  settings.zone = top.text("zone");
  settings.listen = top.text("listen");
  settings.peer_listen = top.text("peer_listen");
  top.for_each_table("others", [&](const TomlReader& reader) {
    settings.others.push_back({reader.text("member"), reader.text("zone"), reader.text("address")});
  });
  const auto external = top.table("external");
  settings.cloud_address = external.text("cloud");
  settings.state_address = external.text("state");
  const auto facts = top.table("facts");
  settings.nodes = facts.count("nodes", 1);
  settings.zones = facts.texts("zones");
  settings.clock_error_s = facts.number("clock_error_ms", 0) / 1000.0;
  facts.for_each_table("teams", [&](const TomlReader& reader) {
    settings.teams.push_back({reader.text("name"), reader.number("cpus", 0),
                              reader.number("cpus_max", 0), reader.number("gpus", 0),
                              reader.number("gpus_max", 0)});
  });
  facts.for_each_table("objectives", [&](const TomlReader& reader) {
    settings.objectives.push_back({reader.text("kind"),
                                   reader.has("class") ? reader.text("class") : "",
                                   reader.has("within_s") ? reader.number("within_s", 0) : 0,
                                   reader.has("share") ? reader.number("share", 0) : 0});
  });
  const auto workers = facts.table("workers");
  settings.heartbeat_interval_s = workers.number("report_s", 0, true);
  settings.lease_s = workers.number("lease_s", 0, true);
  settings.gang_wait_s = workers.number("gang_wait_s", 0, true);
  settings.gang_peer_s = workers.number("gang_peer_s", 0, true);
  settings.cancel_s = workers.number("cancel_s", 0, true);
  if (settings.cancel_s <= settings.lease_s) workers.fail("cancel_s", "a number above lease_s");
  const auto state = facts.table("state");
  settings.state_rps = state.number("rps", 0, true);
  settings.state_write_rps = state.number("write_rps", 0, true);
  settings.value_kb = state.number("value_kb", 1);
  settings.txn_ops = state.count("txn_ops", 2);
  if (state.has("next")) read_announced_limits(state.table("next"), settings);
  const auto cloud = facts.table("cloud");
  settings.cloud_rps = cloud.number("rps", 0, true);
  settings.list_lag_s = cloud.number("list_lag_s", 0);
  const auto resources = facts.table("resources");
  settings.fd_limit = resources.count("fd_limit", 32);
  if (resources.has("core_share")) settings.core_share = resources.number("core_share", 0, true);
  if (resources.has("ram_mb")) settings.ram_mb = resources.number("ram_mb", 0, true);
}

/// Reads <cranklock><scaler every_s="5" high="0.9" .../><machines boot_patience="3"/></cranklock>
void read_xml(const std::string& path, OperatorSettings& settings) {
  pugi::xml_document document;
  const auto parsed = document.load_file(path.c_str());
  if (!parsed) throw SettingsError(path + ": expected XML: " + parsed.description());
  const auto root = document.document_element();
  if (std::string(root.name()) != "cranklock") {
    throw SettingsError(path + ": " + root.name() + ": expected the element cranklock");
  }
  ScalerSettings& scaler = settings.scaler;
  struct Field {
    std::function<void(double)> set;
    double min;
    bool whole = false;
  };
  const auto set_real = [](double& target) { return [&target](double value) { target = value; }; };
  const auto set_whole = [](int& target) {
    return [&target](double value) { target = static_cast<int>(value); };
  };
  const std::map<std::string, std::map<std::string, Field>> sections = {
      {"scaler",
       {{"every_s", {set_real(scaler.interval_s), 0.1}},
        {"high", {set_real(scaler.high_score), 0.0}},
        {"low", {set_real(scaler.low_score), 0.0}},
        {"up_window_s", {set_real(scaler.scale_out_window_s), 0.0}},
        {"down_window_s", {set_real(scaler.scale_in_window_s), 1.0}},
        {"up_cooldown_s", {set_real(scaler.scale_out_cooldown_s), 0.0}},
        {"down_cooldown_s", {set_real(scaler.scale_in_cooldown_s), 0.0}},
        {"step_machines", {set_whole(scaler.scale_in_step_machines), 1, true}},
        {"step_share", {set_real(scaler.scale_in_step_share), 0.0}},
        {"most_step", {set_whole(scaler.max_scale_out_step_machines), 1, true}},
        {"most_step_share", {set_real(scaler.max_scale_out_step_share), 0.0}},
        {"least_machines", {set_whole(scaler.min_machines), 0, true}},
        {"most_machines", {set_whole(scaler.max_machines), 1, true}}}},
      {"machines", {{"boot_patience", {set_real(settings.boot_timeout_factor), 1.0}}}}};
  for (const auto& element : root.children()) {
    if (element.type() != pugi::node_element) continue;
    if (std::string(element.name()) == "regions") {
      if (settings.regions.enabled())
        throw SettingsError(path + ": regions: expected the element once");
      settings.regions = read_region_settings(element, path);
      continue;
    }
    if (std::string(element.name()) == "defrag") {
      settings.defrag = read_defrag_settings(element, path);
      continue;
    }
    const auto section = sections.find(element.name());
    if (section == sections.end()) {
      throw SettingsError(path + ": " + element.name() +
                          ": expected scaler, machines, defrag or regions");
    }
    for (const auto& attribute : element.attributes()) {
      const std::string field_path = std::string(element.name()) + "/" + attribute.name();
      const auto field = section->second.find(attribute.name());
      if (field == section->second.end()) {
        throw SettingsError(path + ": " + field_path + ": expected a known attribute");
      }
      char* end = nullptr;
      const double value = std::strtod(attribute.value(), &end);
      const bool invalid = end == attribute.value() || *end != 0 || !(value >= field->second.min) ||
                           (field->second.whole && value != static_cast<int>(value));
      if (invalid) {
        throw SettingsError(path + ": " + field_path + ": expected a " +
                            (field->second.whole ? "whole " : "") + "number of at least " +
                            std::to_string(field->second.min));
      }
      field->second.set(value);
    }
  }
  if (scaler.low_score >= scaler.high_score)
    throw SettingsError(path + ": scaler/low: expected a number below high");
  if (scaler.min_machines > scaler.max_machines) {
    throw SettingsError(path + ": scaler/least_machines: expected at most most_machines");
  }
}

}  // namespace

namespace {
/// Checks what regions require of the platform's settings: the controller is listed in its region,
/// a transaction is large enough for a transfer, and team names are valid in keys and frames.
void check_regions(const Settings& settings, const std::string& xml_path) {
  const RegionSettings& regions = settings.operator_settings.regions;
  if (!regions.enabled()) return;
  if (regions.listen_address(settings.name).empty()) {
    throw SettingsError(xml_path + ": region " + regions.self + ": expected the controller " +
                        settings.name);
  }
  constexpr int kMinMutations = 4;  // largest step of a transfer: two counters, share, transfer
  if (settings.txn_ops < kMinMutations) {
    throw SettingsError(xml_path + ": regions: expected a state service with txn_ops of at least " +
                        std::to_string(kMinMutations));
  }
  constexpr std::size_t kMaxTeamNameBytes = 64;
  for (const auto& team : settings.teams) {
    if (team.name.size() > kMaxTeamNameBytes ||
        team.name.find_first_of(" /") != std::string::npos) {
      throw SettingsError(xml_path + ": regions: expected team names of at most 64 bytes without " +
                          "spaces and slashes, not " + team.name);
    }
  }
}
}  // namespace

Settings load_settings(const std::string& toml_path, const std::string& xml_path) {
  Settings settings;
  read_toml(toml_path, settings);
  if (!xml_path.empty()) read_xml(xml_path, settings.operator_settings);
  check_regions(settings, xml_path);
  return settings;
}

}  // namespace cranklock::base
