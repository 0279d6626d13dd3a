// Checks whether a job can ever run, from its specification, the settings and the machine types.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "base/settings.hpp"
#include "wire/client_api.hpp"
#include "wire/cloud_api.hpp"

namespace cranklock::control {

/// Why a job can never run.
enum class Infeasibility {
  depends_on_itself,
  unknown_team,
  no_machine_type,          ///< no allowed machine type is large enough for a task
  exceeds_team_limit,       ///< by the resources that it needs concurrently
  dependency_not_accepted,  ///< a dependency was never accepted
};

/// Returns why a job with this specification can never run, regardless of other jobs; none if it
/// may run. Must not be called before the machine types are known, because a refusal is final.
std::optional<Infeasibility> find_infeasibility(const wire::JobSpec& spec,
                                                const base::Settings& settings,
                                                const std::vector<wire::MachineType>& types);

/// The reason as sent to clients.
std::string_view to_text(Infeasibility reason);

}  // namespace cranklock::control
