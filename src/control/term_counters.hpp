// Counts of what a leader has done in its term, for operators.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "sched/end_proof.hpp"

namespace cranklock::control {

/// Counted from the begin of the term; logged at intervals (TermLog).
struct TermCounters {
  static constexpr std::size_t kEndProofs =
      static_cast<std::size_t>(sched::EndProof::write_superseded) + 1;

  std::uint64_t starts_in_responses = 0;  ///< starts in responses to heartbeats
  std::uint64_t starts_in_commands = 0;   ///< starts sent straight to agents
  std::uint64_t unanswered_commands = 0;  ///< starts sent straight whose outcome is unknown
  std::uint64_t unanswered_writes = 0;    ///< transactions whose outcome is unknown
  std::uint64_t writes_held_back = 0;     ///< records that had to wait for a release of quota
  std::uint64_t forgets_task_over = 0;    ///< `forget` for a task that ended on that machine
  std::uint64_t forgets_job_over = 0;     ///< `forget` for a task of a job that is over
  std::uint64_t tokens_raised = 0;        ///< higher fencing tokens given to agents
  std::uint64_t forgotten_reported = 0;   ///< forgotten attempts that an agent reported live again
  std::uint64_t jobs_deferred = 0;        ///< waiting jobs that were not held for want of memory
  std::uint64_t jobs_evicted = 0;         ///< held waiting jobs that made room for others
  std::array<std::uint64_t, kEndProofs> ends{};  ///< placements that ended, by proof

  std::uint64_t& ended_by(sched::EndProof proof) {
    return ends.at(static_cast<std::size_t>(proof));
  }
};

}  // namespace cranklock::control
