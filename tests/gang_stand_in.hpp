// The connections between the tasks of gangs, as specified in PROTOCOL under "Gangs". The test
// cluster and the lab tell it which tasks of an attempt are on responsive machines.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace cranklock::testing {

/// What all tasks of one attempt of a gang see.
enum class GangState {
  waiting,    ///< for the image of some task
  running,    ///< all tasks have started
  completed,  ///< all tasks have completed, at the same time
  task_lost,  ///< a task of the running gang has been gone for too long: the others exit
};

/// One attempt of a gang.
struct GangAttempt {
  std::string job;
  std::uint64_t attempt = 0;
  auto operator<=>(const GangAttempt&) const = default;
};

/// What a gang needs to start and to complete.
struct GangPlan {
  std::size_t tasks = 0;
  double run_s = 0;     ///< seconds from its start to its completion
  double notice_s = 0;  ///< seconds after which the tasks notice that another one is gone
};

/// Starts, completes and breaks off gangs as a whole.
class GangStandIn {
 public:
  /// Applies the passage of time. `present`: the number of tasks of this attempt that have their
  /// image, have not exited and are on machines that are not hung.
  GangState advance(const GangAttempt& attempt, const GangPlan& plan, std::size_t present,
                    double now);

 private:
  struct Progress {
    GangState state = GangState::waiting;
    double started_at = 0;
    double last_whole_at = 0;  ///< when all tasks were last seen
  };
  std::map<GangAttempt, Progress> attempts_;
};

}  // namespace cranklock::testing
