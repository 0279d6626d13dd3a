// Reasons for which the leader deletes a machine.
#pragma once

namespace cranklock::control {

enum class TerminationReason {
  listed_as_failed,            ///< in the cloud's list of machines
  boot_timeout,                ///< it never sent a heartbeat
  lease_expired,               ///< no response was sent to its agent for two leases
  reclaimed,                   ///< the cloud has reclaimed the spot machine
  quarantined,                 ///< task failures are attributed to it
  cancelled_task_unconfirmed,  ///< a cancelled task may still run on it (invariant 7)
  unknown_machine,  ///< named by a job record, but by neither the cloud's list nor a heartbeat
  scaled_in,        ///< idle and not needed by its pool
};

/// The value of the `reason` field of log lines.
constexpr const char* to_string(TerminationReason reason) {
  switch (reason) {
    case TerminationReason::listed_as_failed:
      return "listed as failed";
    case TerminationReason::boot_timeout:
      return "boot timeout";
    case TerminationReason::lease_expired:
      return "lease expired";
    case TerminationReason::reclaimed:
      return "reclaimed";
    case TerminationReason::quarantined:
      return "quarantined";
    case TerminationReason::cancelled_task_unconfirmed:
      return "cancelled task unconfirmed";
    case TerminationReason::unknown_machine:
      return "unknown machine";
    case TerminationReason::scaled_in:
      return "scaled in";
  }
  return "";
}

}  // namespace cranklock::control
