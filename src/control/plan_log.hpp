// How the leader logs what becomes of a plan of moves.
#pragma once

#include <string>

#include "defrag/plan_events.hpp"

namespace cranklock::control {

/// The log line of an event; docs/oncall.md explains it.
std::string to_log_line(const defrag::PlanEvent& event);

}  // namespace cranklock::control
