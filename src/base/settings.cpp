#include "base/settings.hpp"

#include <functional>
#include <map>
#include <pugixml.hpp>

#include "base/toml_reader.hpp"

namespace cranklock::base {
namespace {

/// Limits that the state service will have one day. Those that stay as they are may be left out.
void read_coming_limits(const TomlReader& next, Settings& s) {
  if (next.has("rps")) s.state_rps = std::min(s.state_rps, next.number("rps", 0, true));
  if (next.has("write_rps")) {
    s.state_write_rps = std::min(s.state_write_rps, next.number("write_rps", 0, true));
  }
  if (next.has("value_kb")) s.value_kb = std::min(s.value_kb, next.number("value_kb", 1));
  if (next.has("txn_ops")) s.txn_ops = std::min(s.txn_ops, next.count("txn_ops", 2));
}

void read_toml(const std::string& path, Settings& s) {
  const toml::table root = parse_toml(path);
  const TomlReader top(root, path, "");
  s.name = top.text("member");
  s.zone = top.text("zone");
  s.listen = top.text("listen");
  s.peer_listen = top.text("peer_listen");
  top.each("others", [&](const TomlReader& r) {
    s.others.push_back({r.text("member"), r.text("zone"), r.text("address")});
  });
  const auto external = top.table("external");
  s.cloud = external.text("cloud");
  s.state = external.text("state");
  const auto facts = top.table("facts");
  s.nodes = facts.count("nodes", 1);
  s.zones = facts.texts("zones");
  s.clock_error_s = facts.number("clock_error_ms", 0) / 1000.0;
  facts.each("teams", [&](const TomlReader& r) {
    s.teams.push_back({r.text("name"), r.number("cpus", 0), r.number("cpus_max", 0),
                       r.number("gpus", 0), r.number("gpus_max", 0)});
  });
  facts.each("objectives", [&](const TomlReader& r) {
    s.objectives.push_back({r.text("kind"), r.has("class") ? r.text("class") : "",
                            r.has("within_s") ? r.number("within_s", 0) : 0,
                            r.has("share") ? r.number("share", 0) : 0});
  });
  const auto workers = facts.table("workers");
  s.heartbeat_interval_s = workers.number("report_s", 0, true);
  s.lease_s = workers.number("lease_s", 0, true);
  s.gang_wait_s = workers.number("gang_wait_s", 0, true);
  s.gang_peer_s = workers.number("gang_peer_s", 0, true);
  s.cancel_s = workers.number("cancel_s", 0, true);
  if (s.cancel_s <= s.lease_s) workers.fail("cancel_s", "a number above lease_s");
  const auto state = facts.table("state");
  s.state_rps = state.number("rps", 0, true);
  s.state_write_rps = state.number("write_rps", 0, true);
  s.value_kb = state.number("value_kb", 1);
  s.txn_ops = state.count("txn_ops", 2);
  if (state.has("next")) read_coming_limits(state.table("next"), s);
  const auto cloud = facts.table("cloud");
  s.cloud_rps = cloud.number("rps", 0, true);
  s.list_lag_s = cloud.number("list_lag_s", 0);
  const auto resources = facts.table("resources");
  s.fd_limit = resources.count("fd_limit", 32);
  if (resources.has("core_share")) s.core_share = resources.number("core_share", 0, true);
  if (resources.has("ram_mb")) s.ram_mb = resources.number("ram_mb", 0, true);
}

/// <cranklock><scaler every_s="5" high="0.9" .../><machines boot_patience="3"/></cranklock>
void read_xml(const std::string& path, OperatorSettings& o) {
  pugi::xml_document doc;
  const auto parsed = doc.load_file(path.c_str());
  if (!parsed) throw SettingsError(path + ": expected XML: " + parsed.description());
  const auto root = doc.document_element();
  if (std::string(root.name()) != "cranklock") {
    throw SettingsError(path + ": " + root.name() + ": expected the element cranklock");
  }
  ScalerSettings& sc = o.scaler;
  struct Field {
    std::function<void(double)> set;
    double least;
    bool whole = false;
  };
  const auto real = [](double& d) { return [&d](double v) { d = v; }; };
  const auto whole = [](int& d) { return [&d](double v) { d = static_cast<int>(v); }; };
  const std::map<std::string, std::map<std::string, Field>> known = {
      {"scaler",
       {{"every_s", {real(sc.every_s), 0.1}},
        {"high", {real(sc.high), 0.0}},
        {"low", {real(sc.low), 0.0}},
        {"up_window_s", {real(sc.up_window_s), 0.0}},
        {"down_window_s", {real(sc.down_window_s), 1.0}},
        {"up_cooldown_s", {real(sc.up_cooldown_s), 0.0}},
        {"down_cooldown_s", {real(sc.down_cooldown_s), 0.0}},
        {"step_machines", {whole(sc.step_machines), 1, true}},
        {"step_share", {real(sc.step_share), 0.0}},
        {"most_step", {whole(sc.max_step), 1, true}},
        {"most_step_share", {real(sc.max_step_share), 0.0}},
        {"least_machines", {whole(sc.min_machines), 0, true}},
        {"most_machines", {whole(sc.max_machines), 1, true}}}},
      {"machines", {{"boot_patience", {real(o.boot_patience), 1.0}}}}};
  for (const auto& element : root.children()) {
    if (element.type() != pugi::node_element) continue;
    if (std::string(element.name()) == "regions") {
      if (o.regions.enabled()) throw SettingsError(path + ": regions: expected the element once");
      o.regions = read_region_settings(element, path);
      continue;
    }
    if (std::string(element.name()) == "defrag") {
      o.defrag = read_defrag_settings(element, path);
      continue;
    }
    const auto section = known.find(element.name());
    if (section == known.end()) {
      throw SettingsError(path + ": " + element.name() +
                          ": expected scaler, machines, defrag or regions");
    }
    for (const auto& attribute : element.attributes()) {
      const std::string here = std::string(element.name()) + "/" + attribute.name();
      const auto field = section->second.find(attribute.name());
      if (field == section->second.end()) {
        throw SettingsError(path + ": " + here + ": expected a known attribute");
      }
      char* end = nullptr;
      const double v = std::strtod(attribute.value(), &end);
      const bool bad = end == attribute.value() || *end != 0 || !(v >= field->second.least) ||
                       (field->second.whole && v != static_cast<int>(v));
      if (bad) {
        throw SettingsError(path + ": " + here + ": expected a " +
                            (field->second.whole ? "whole " : "") + "number of at least " +
                            std::to_string(field->second.least));
      }
      field->second.set(v);
    }
  }
  if (sc.low >= sc.high) throw SettingsError(path + ": scaler/low: expected a number below high");
  if (sc.min_machines > sc.max_machines) {
    throw SettingsError(path + ": scaler/least_machines: expected at most most_machines");
  }
}

}  // namespace

namespace {
/// What regions ask of the platform's settings: the controller is listed, and the names of teams
/// can be parts of keys and frames.
void check_regions(const Settings& settings, const std::string& xml_path) {
  const RegionSettings& regions = settings.operators.regions;
  if (!regions.enabled()) return;
  if (regions.listen_address(settings.name).empty()) {
    throw SettingsError(xml_path + ": region " + regions.self + ": expected the controller " +
                        settings.name);
  }
  constexpr int kMinMutations = 4;  // the largest step of a transfer: two counters, share, transfer
  if (settings.txn_ops < kMinMutations) {
    throw SettingsError(xml_path + ": regions: expected a state service with txn_ops of at least " +
                        std::to_string(kMinMutations));
  }
  constexpr std::size_t kMaxTeamName = 64;
  for (const auto& team : settings.teams) {
    if (team.name.size() > kMaxTeamName || team.name.find_first_of(" /") != std::string::npos) {
      throw SettingsError(xml_path + ": regions: expected team names of at most 64 bytes without " +
                          "spaces and slashes, not " + team.name);
    }
  }
}
}  // namespace

Settings load_settings(const std::string& toml_path, const std::string& xml_path) {
  Settings s;
  read_toml(toml_path, s);
  if (!xml_path.empty()) read_xml(xml_path, s.operators);
  check_regions(s, xml_path);
  return s;
}

}  // namespace cranklock::base
