#include "sched/heartbeat_reconciler.hpp"

#include <algorithm>

namespace cranklock::sched {

HeartbeatFreshness HeartbeatReconciler::reconcile(const wire::Heartbeat& heartbeat,
                                                  bool is_heartbeat, double now) {
  Machine& machine =
      machines_.upsert(heartbeat.machine, {heartbeat.type, heartbeat.zone, heartbeat.spot}, now);
  const AgentSequence sequence = sequence_of(heartbeat);
  if (is_heartbeat) {
    if (sequence <= machine.agent.newest_heartbeat) return HeartbeatFreshness::stale;
    machine.agent.newest_heartbeat = sequence;
  }
  if (machine.agent.heartbeat_received && sequence <= machine.agent.newest_message) {
    return HeartbeatFreshness::out_of_order;
  }
  const bool acknowledges_token = tokens_.contains(heartbeat.fencing_token);
  record_message(machine, heartbeat, now);
  tasks_.reconcile_reported(machine, heartbeat, acknowledges_token, now);
  if (!is_heartbeat) return HeartbeatFreshness::fresh;
  // Invariant 4: an absence counts only in a heartbeat that carries this leader's fencing token and
  // is newer than the message that carried the start. The token excludes commands of a former
  // leader that are still in transit; the order excludes stale copies and responses that crossed
  // the heartbeat.
  if (heartbeat.fencing_token < tokens_.first()) count_unacknowledged_response(machine, now);
  if (!acknowledges_token) return HeartbeatFreshness::fresh;
  machine.agent.unacknowledged_responses = 0;
  tasks_.reconcile_absent(machine, heartbeat, now);
  return HeartbeatFreshness::fresh;
}

void HeartbeatReconciler::record_message(Machine& machine, const wire::Heartbeat& heartbeat,
                                         double now) {
  const bool was_usable = machine.agent.heartbeat_received && !machine.lease.expired;
  if (heartbeat.agent_epoch != machine.agent.newest_message.epoch) {
    // Commands sent to an earlier agent epoch can't be executed in this one.
    machine.agent.direct_start_token = 0;
    if (machine.agent.heartbeat_received) {
      machine.images.clear();
      machine.agent.token_acknowledged = false;
    }
  }
  boots_.record_message(machine, now);
  machine.address = heartbeat.address;
  machine.agent.newest_message = sequence_of(heartbeat);
  machine.agent.heartbeat_received = true;
  machine.lease.expired = false;
  machine.agent.last_heartbeat = now;
  record_token(machine, heartbeat, now);
  if (heartbeat.preemption_notice_s) {
    record_preemption_notice(machine, *heartbeat.preemption_notice_s, now);
  }
  if (machine.agent.unresponsive_until > 0 && now > machine.agent.unresponsive_until) {
    machine.agent.unresponsive_until = 0;
    changes_.raise();
  }
  if (!was_usable) changes_.raise();
}

void HeartbeatReconciler::record_token(Machine& machine, const wire::Heartbeat& heartbeat,
                                       double now) {
  if (!tokens_.contains(heartbeat.fencing_token)) return;
  machine.agent.fencing_token = std::max(machine.agent.fencing_token, heartbeat.fencing_token);
  if (machine.agent.token_acknowledged) return;
  machine.agent.token_acknowledged = true;
  changes_.raise();
  // A former leader may have renewed the agent's lease until now, so the lease is timed from here.
  machine.lease.last_response = std::max(machine.lease.last_response, now);
}

void HeartbeatReconciler::record_preemption_notice(Machine& machine, double notice_s, double now) {
  const double reclaim_at = now + notice_s;
  if (!machine.cloud.reclaim_at) changes_.raise();
  machine.cloud.reclaim_at =
      machine.cloud.reclaim_at ? std::min(*machine.cloud.reclaim_at, reclaim_at) : reclaim_at;
}

// Guards against a machine that sends heartbeats but receives no responses: nothing is placed on it
// for the duration of a lease.
void HeartbeatReconciler::count_unacknowledged_response(Machine& machine, double now) const {
  if (machine.lease.last_response <= 0) return;
  ++machine.agent.unacknowledged_responses;
  if (machine.agent.unacknowledged_responses < kMaxUnacknowledgedResponses) return;
  machine.agent.unresponsive_until = now + settings_.lease_s;
}

}  // namespace cranklock::sched
