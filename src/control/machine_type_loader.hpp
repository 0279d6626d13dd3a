// Learns the machine types that clients' submissions are checked against.
#pragma once

#include <vector>

#include "control/job_api.hpp"
#include "control/services.hpp"
#include "net/task.hpp"

namespace cranklock::control {

/// Asks the cloud for its machine types and gives them to the job API. One copy is kept in the
/// key-value store for controllers that start while the cloud is down.
class MachineTypeLoader {
 public:
  /// `job_api` outlives the loader.
  MachineTypeLoader(Services services, JobApi& job_api) : services_(services), job_api_(job_api) {}

  /// Asks about every minute, and more often until types are known and stored; until cancelled.
  net::Task<void> run();

 private:
  net::Task<void> store_types(std::vector<wire::MachineType> types);

  Services services_;
  JobApi& job_api_;
  bool is_stored_ = false;  ///< there is a copy in the store, or it can't be stored
};

}  // namespace cranklock::control
