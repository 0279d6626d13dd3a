#include "control/term_log.hpp"

#include <spdlog/spdlog.h>

#include "base/event_log.hpp"

namespace cranklock::control {

using net::Sleep;
using net::Task;
using sched::EndProof;

void TermLog::log_loaded(std::uint64_t revision) const {
  std::size_t placements = 0;
  for (const auto& [id, job] : context_.cluster.jobs()) placements += job.placements.size();
  base::log_info("records loaded", base::field("fencing_token", context_.lease.fencing_token()),
                 base::field("revision", revision),
                 base::field("jobs", context_.cluster.jobs().size()),
                 base::field("placements", placements));
  for (const auto& team : context_.services.settings.teams) {
    const wire::Resources& allocated = context_.cluster.team_allocation(team.name);
    if (context_.cluster.is_within_limit(team, allocated)) continue;
    const wire::Resources limit = context_.cluster.limit_for(team);
    base::log_error("stored placements exceed limit", base::field("team", team.name),
                    base::field("gpus", allocated.gpus), base::field("gpus_limit", limit.gpus),
                    base::field("cpus", allocated.cpus), base::field("cpus_limit", limit.cpus));
  }
}

void TermLog::record_end(const sched::Job& job, const sched::Placement& placement,
                         EndProof proof) const {
  ++context_.counters.ended_by(proof);
  const auto level = proof == EndProof::over_limit ? spdlog::level::info : spdlog::level::debug;
  if (!spdlog::should_log(level)) return;
  base::log_event(
      level, "placement ended", base::field("task", wire::to_string({job.spec.id, placement.task})),
      base::field("attempt", placement.attempt), base::field("machine", placement.machine),
      base::field("proof", sched::to_string(proof)));
}

Task<void> TermLog::run() const {
  constexpr double kIntervalS = 60;
  for (;;) {
    Sleep pause(context_.services.reactor, kIntervalS);
    co_await pause;
    log_counters();
  }
}

void TermLog::log_counters() const {
  TermCounters& counters = context_.counters;
  base::log_info("term counters", base::field("fencing_token", context_.lease.fencing_token()),
                 base::field("starts_in_responses", counters.starts_in_responses),
                 base::field("starts_in_commands", counters.starts_in_commands),
                 base::field("unanswered_commands", counters.unanswered_commands),
                 base::field("unanswered_writes", counters.unanswered_writes),
                 base::field("writes_held_back", counters.writes_held_back),
                 base::field("forgets_task_over", counters.forgets_task_over),
                 base::field("forgets_job_over", counters.forgets_job_over),
                 base::field("tokens_raised", counters.tokens_raised),
                 base::field("forgotten_reported", counters.forgotten_reported),
                 base::field("jobs_deferred", counters.jobs_deferred),
                 base::field("jobs_evicted", counters.jobs_evicted),
                 base::field("exit_reported", counters.ended_by(EndProof::exit_reported)),
                 base::field("not_reported", counters.ended_by(EndProof::not_reported)),
                 base::field("over_limit", counters.ended_by(EndProof::over_limit)),
                 base::field("gang_completed", counters.ended_by(EndProof::gang_completed)),
                 base::field("lease_expired", counters.ended_by(EndProof::lease_expired)),
                 base::field("machine_deleted", counters.ended_by(EndProof::machine_deleted)),
                 base::field("write_superseded", counters.ended_by(EndProof::write_superseded)));
}

void record_start(const LeaderContext& context, const wire::TaskName& task,
                  const std::string& machine, StartChannel channel) {
  const bool in_response = channel == StartChannel::heartbeat_response;
  ++(in_response ? context.counters.starts_in_responses : context.counters.starts_in_commands);
  if (!spdlog::should_log(spdlog::level::debug)) return;
  const sched::Job* job = context.cluster.job(task.job);
  if (job == nullptr) return;
  const auto* team = context.services.settings.find_team(job->spec.team);
  base::log_debug(
      "start sent", base::field("task", wire::to_string(task)), base::field("machine", machine),
      base::field("in", in_response ? "heartbeat response" : "command"),
      base::field("fencing_token", context.lease.fencing_token()),
      base::field("team", job->spec.team),
      base::field("gpus", context.cluster.team_allocation(job->spec.team).gpus),
      base::field("gpus_limit", team != nullptr ? context.cluster.limit_for(*team).gpus : 0.0),
      base::field("known_s_ago", context.now() - context.lease.known_until()));
}

}  // namespace cranklock::control
