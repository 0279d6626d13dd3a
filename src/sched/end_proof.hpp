// The proofs by which a leader gives up a placement.
#pragma once

namespace cranklock::sched {

/// Why a placement is known to be gone from its machine (invariant 4).
enum class EndProof {
  exit_reported,     ///< the agent has reported the exit of the task
  not_reported,      ///< a heartbeat does not name the task
  over_limit,        ///< as not_reported; never started here, since its team exceeds its limit
  gang_completed,    ///< another task of its gang has completed
  lease_expired,     ///< the agent's lease has certainly expired
  machine_deleted,   ///< the cloud has confirmed the deletion of the machine
  write_superseded,  ///< it was never stored: a write without it has succeeded
};

/// The name of the proof in log lines.
const char* to_string(EndProof proof);

}  // namespace cranklock::sched
