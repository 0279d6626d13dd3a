#include "control/leadership_status.hpp"

#include "base/event_log.hpp"

namespace cranklock::control {

std::string_view to_string(LeadershipLoss loss) {
  switch (loss) {
    case LeadershipLoss::agent_saw_higher_token:
      return "agent has seen a higher fencing token";
    case LeadershipLoss::peer_has_higher_token:
      return "peer leads with a higher fencing token";
    case LeadershipLoss::leader_key_changed:
      return "leader key has changed";
    case LeadershipLoss::lease_ended:
      return "leader lease has ended";
  }
  return "";
}

void log_leadership_lost(std::uint64_t fencing_token, LeadershipLoss loss) {
  base::log_info("leadership lost", base::field("fencing_token", fencing_token),
                 base::field("reason", to_string(loss)));
}

void LeadershipStatus::step_down(LeadershipLoss loss) {
  if (is_lost_) return;
  is_lost_ = true;
  log_leadership_lost(fencing_token_, loss);
  lost_signal_.set();
}

}  // namespace cranklock::control
