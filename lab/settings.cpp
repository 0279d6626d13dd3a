#include "lab/settings.hpp"

#include <algorithm>
#include <map>

#include "base/toml_reader.hpp"

namespace cranklock::lab {
namespace {

using base::TomlReader;

RegionPlan read_region(const TomlReader& in) {
  RegionPlan region;
  region.name = in.text("name");
  region.zones = in.texts("zones");
  if (region.zones.empty()) in.fail("zones", "at least one zone");
  region.controllers = in.count("controllers", 1);
  region.workers = in.count("workers", 1);
  region.first_share = in.number("share", 0);
  return region;
}

/// The value of a field that is one of these words.
template <typename Value>
Value read_word(const TomlReader& in, const char* field,
                const std::map<std::string, Value>& words) {
  const auto found = words.find(in.text(field));
  if (found != words.end()) return found->second;
  std::string expected = "one of";
  for (const auto& [word, value] : words) expected += " " + word;
  in.fail(field, expected);
}

ClassPlan read_class(const TomlReader& in) {
  using wire::Rank;
  using wire::Shape;
  ClassPlan plan;
  auto& spec = plan.spec;
  spec.job_class = in.text("name");
  spec.shape = read_word<Shape>(
      in, "shape", {{"array", Shape::array}, {"gang", Shape::gang}, {"service", Shape::service}});
  spec.rank = read_word<Rank>(
      in, "rank",
      {{"production", Rank::production}, {"high", Rank::high}, {"standard", Rank::standard}});
  spec.tasks = static_cast<std::uint32_t>(in.count("tasks", 1));
  const double gpus = in.number("gpus", 0, true);
  spec.room = {gpus, gpus, 8 * gpus};
  spec.estimate_s = in.number("run_s", 0, true);
  spec.image = "img-" + spec.job_class;
  spec.image_gb = 1;
  if (in.has("jobs_per_s")) plan.jobs_per_s = in.number("jobs_per_s", 0);
  if (in.has("initial")) plan.initial = in.count("initial", 0);
  if (in.has("cancelled_share")) plan.cancelled_share = in.number("cancelled_share", 0);
  return plan;
}

FaultPlan read_fault(const TomlReader& in, const LabPlan& plan) {
  const auto kind =
      read_word<FaultPlan::Kind>(in, "kind",
                                 {{"region_apart", FaultPlan::Kind::region_apart},
                                  {"controller_crash", FaultPlan::Kind::controller_crash},
                                  {"state_down", FaultPlan::Kind::state_down}});
  FaultPlan fault{kind, in.text("region"), in.number("at_s", 0), in.number("for_s", 0)};
  const bool known = std::any_of(plan.regions.begin(), plan.regions.end(),
                                 [&](const auto& region) { return region.name == fault.region; });
  if (!known) in.fail("region", "the name of a region");
  return fault;
}

}  // namespace

LabPlan load_plan(const std::string& path) {
  const toml::table root = base::parse_toml(path);
  const TomlReader in(root, path, "");
  LabPlan plan;
  struct Number {
    const char* name;
    double& into;
    double least;
  };
  for (const auto& [name, into, least] :
       {Number{"settle_s", plan.settle_s, 0}, Number{"ramp_s", plan.ramp_s, 0},
        Number{"duration_s", plan.duration_s, 1}, Number{"drain_s", plan.drain_s, 0},
        Number{"peak_from_s", plan.peak_from_s, 0}, Number{"peak_for_s", plan.peak_for_s, 0},
        Number{"peak_factor", plan.peak_factor, 1},
        Number{"guarantee_gpus", plan.guarantee_gpus, 0}, Number{"limit_gpus", plan.limit_gpus, 1},
        Number{"report_s", plan.report_s, 0.1}, Number{"lease_s", plan.lease_s, 1},
        Number{"cancel_s", plan.cancel_s, 2}, Number{"boot_s", plan.boot_s, 0.1},
        Number{"fetch_s", plan.fetch_s, 0}, Number{"worker_gpus", plan.worker_gpus, 1},
        Number{"ram_mb", plan.ram_mb, 1}, Number{"state_write_rps", plan.state_write_rps, 1}}) {
    if (in.has(name)) into = in.number(name, least);
  }
  if (in.has("teams")) plan.teams = in.count("teams", 1);
  if (in.has("fd_limit")) plan.fd_limit = in.count("fd_limit", 32);
  in.each("regions", [&](const TomlReader& one) { plan.regions.push_back(read_region(one)); });
  if (plan.regions.empty()) in.fail("regions", "at least one region");
  in.each("classes", [&](const TomlReader& one) { plan.classes.push_back(read_class(one)); });
  if (plan.classes.empty()) in.fail("classes", "at least one class");
  in.each("faults", [&](const TomlReader& one) { plan.faults.push_back(read_fault(one, plan)); });
  return plan;
}

}  // namespace cranklock::lab
