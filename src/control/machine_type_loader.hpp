// Loads the machine types that job submissions are validated against.
#pragma once

#include <vector>

#include "control/job_api.hpp"
#include "control/services.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Reads the machine types from the cloud and passes them to the job API. A copy is stored in the
/// key-value store for controllers that start while the cloud is unavailable.
class MachineTypeLoader {
 public:
  /// `job_api` must outlive the loader.
  MachineTypeLoader(Services services, JobApi& job_api) : services_(services), job_api_(job_api) {}

  /// Reads the types about once a minute, and more often until they are known and stored. Runs
  /// until cancelled.
  net::Task<void> run();

 private:
  net::Task<void> store_types(std::vector<wire::MachineType> types);

  Services services_;
  JobApi& job_api_;
  bool is_stored_ = false;  ///< the store has a copy, or the types are too long to be stored
};

}  // namespace cranklock::control
