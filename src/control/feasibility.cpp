#include "control/feasibility.hpp"

#include <algorithm>
#include <string>

namespace cranklock::control {

using wire::JobSpec;
using wire::MachineType;

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

/// Whether machines of the type may run tasks of the job. An empty list of types, or an empty zone,
/// allows any.
bool allows(const JobSpec& spec, const MachineType& type) {
  const bool type_allowed = spec.types.empty() || contains(spec.types, type.name);
  const bool zone_allowed = spec.zone.empty() || contains(type.zones, spec.zone);
  return type_allowed && zone_allowed && spec.resources.fits_in(type.resources);
}

/// The minimum resources allocated to the job while it runs: the tasks of a job array may run one
/// at a time, those of a gang or of a service run concurrently.
wire::Resources min_concurrent_resources(const JobSpec& spec) {
  if (spec.kind == wire::JobKind::job_array) return spec.resources;
  return spec.resources * static_cast<double>(spec.tasks);
}

/// A limit of 0 means unlimited.
bool exceeds_limit(const base::Team& team, const wire::Resources& resources) {
  return (team.cpus_max > 0 && resources.cpus > team.cpus_max) ||
         (team.gpus_max > 0 && resources.gpus > team.gpus_max);
}

}  // namespace

std::optional<Infeasibility> find_infeasibility(const JobSpec& spec, const base::Settings& settings,
                                                const std::vector<MachineType>& types) {
  if (contains(spec.dependencies, spec.id)) return Infeasibility::depends_on_itself;
  const base::Team* team = settings.find_team(spec.team);
  if (team == nullptr) return Infeasibility::unknown_team;
  const bool has_machine_type = std::any_of(
      types.begin(), types.end(), [&](const MachineType& type) { return allows(spec, type); });
  if (!has_machine_type) return Infeasibility::no_machine_type;
  if (exceeds_limit(*team, min_concurrent_resources(spec)))
    return Infeasibility::exceeds_team_limit;
  return std::nullopt;
}

std::string_view to_text(Infeasibility reason) {
  switch (reason) {
    case Infeasibility::depends_on_itself:
      return "needs itself";
    case Infeasibility::unknown_team:
      return "unknown team";
    case Infeasibility::no_machine_type:
      return "no allowed machine type has room for a task";
    case Infeasibility::exceeds_team_limit:
      return "more than the team's limit";
    case Infeasibility::dependency_not_accepted:
      return "needs a job that nobody accepted";
  }
  return "";
}

}  // namespace cranklock::control
