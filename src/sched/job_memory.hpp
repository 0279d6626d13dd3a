// The memory that the leader takes to hold a job.
#pragma once

#include <cstddef>

#include "sched/job.hpp"

namespace cranklock::sched {

/// Bytes that a job takes in the leader's memory apart from its placements: its specification,
/// runtime state and entries in the tables of jobs and dependencies. An estimate that is seldom too
/// low.
std::size_t job_memory_bytes(const Job& job);

}  // namespace cranklock::sched
