#include "sched/end_proof.hpp"

namespace cranklock::sched {

const char* to_string(EndProof proof) {
  switch (proof) {
    case EndProof::exit_reported:
      return "exit reported";
    case EndProof::not_reported:
      return "not reported";
    case EndProof::over_limit:
      return "over limit";
    case EndProof::gang_completed:
      return "gang completed";
    case EndProof::lease_expired:
      return "lease expired";
    case EndProof::machine_deleted:
      return "machine deleted";
    case EndProof::write_superseded:
      return "write superseded";
  }
  return "";
}

}  // namespace cranklock::sched
