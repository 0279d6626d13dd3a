// How long tasks are expected to run, from the estimates of their owners.
#pragma once

#include "sched/job.hpp"
#include "wire/cloud_api.hpp"

namespace cranklock::sched {

/// Whether the job's tasks run until they are stopped.
bool stands(const wire::JobSpec& spec);

/// Seconds that a machine with this rate takes to fetch the job's image.
double image_fetch_s(const wire::JobSpec& spec, double fetch_gb_per_s);

/// Seconds within which a task that is placed now on a machine of the type will probably have
/// ended, including the fetch of its image; infinite if it stands or its owner gave no estimate.
double max_run_s(const wire::JobSpec& spec, const wire::MachineType& type);

/// Expected seconds until a placed task ends; infinite if it stands, 0 if that may be at any time
/// because its owner gave no estimate.
double remaining_run_s(const wire::JobSpec& spec, const Placement& placement, double now);

}  // namespace cranklock::sched
