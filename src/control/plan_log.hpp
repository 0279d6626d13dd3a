// Log lines for events of a plan of moves.
#pragma once

#include <string>

#include "defrag/plan_events.hpp"

namespace cranklock::control {

/// Formats the log line of an event; docs/oncall.md explains these lines.
std::string to_log_line(const defrag::PlanEvent& event);

}  // namespace cranklock::control
