// Whether a job can ever run, by its specification alone.
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
  no_machine_type,          ///< that it allows has room for one of its tasks
  exceeds_team_limit,       ///< with what it needs at once
  dependency_not_accepted,  ///< it depends on a job that nobody accepted
};

/// Why a job with this specification can never run, whatever jobs there are; none if it may. Must
/// not be asked before the machine types are known, since a refusal is final.
std::optional<Infeasibility> find_infeasibility(const wire::JobSpec& spec,
                                                const base::Settings& settings,
                                                const std::vector<wire::MachineType>& types);

/// The reason as clients are told.
std::string_view to_text(Infeasibility reason);

}  // namespace cranklock::control
