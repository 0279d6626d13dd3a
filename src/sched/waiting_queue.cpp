#include "sched/waiting_queue.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

#include "sched/priority_inheritance.hpp"

namespace cranklock::sched {
namespace {

/// Whether the cumulative resources of the team's jobs are within its guarantee in this region.
bool within_guarantee(const ClusterState& cluster, const base::Team& team,
                      const wire::Resources& sum) {
  const wire::Resources guarantee = cluster.guarantee_for(team);
  return (team.gpus > 0 || team.cpus > 0) && (team.gpus <= 0 || sum.gpus <= guarantee.gpus) &&
         (team.cpus <= 0 || sum.cpus <= guarantee.cpus);
}

/// The unfinished jobs that may run, oldest first. Excludes jobs with unmet dependencies, so that
/// they use no part of their team's guarantee.
std::vector<Job*> runnable_jobs_by_age(ClusterState& cluster) {
  std::vector<Job*> runnable;
  for (auto& [id, job] : cluster.jobs()) {
    if (job.runnable()) runnable.push_back(&job);
  }
  std::sort(runnable.begin(), runnable.end(), [](const Job* a, const Job* b) {
    return std::tie(a->ready_ms, a->spec.id) < std::tie(b->ready_ms, b->spec.id);
  });
  return runnable;
}

/// Assigns each team's guarantee to its oldest jobs, up to the guaranteed amount.
void assign_guarantees(const ClusterState& cluster, const std::vector<Job*>& jobs_by_age) {
  std::map<std::string, wire::Resources> requested;  // by team; cumulative, in order of age
  for (Job* job : jobs_by_age) {
    wire::Resources& sum = requested[job->spec.team];
    sum += job->spec.resources * job->spec.tasks;
    const auto* team = cluster.settings().find_team(job->spec.team);
    job->guaranteed = team != nullptr && within_guarantee(cluster, *team, sum);
  }
}

/// The wall-clock time that determines a job's position in the queue: when it became ready or its
/// latest start time, whichever is earlier. A job that has missed its latest start time thus moves
/// ahead, further the more it is late.
std::int64_t queued_since_ms(const Job& job) {
  return std::min(job.ready_ms, job.urgency.start_by_ms);
}

}  // namespace

WaitingQueue queue_waiting_jobs(ClusterState& cluster, double now) {
  inherit_urgency(cluster);
  const std::vector<Job*> jobs_by_age = runnable_jobs_by_age(cluster);
  assign_guarantees(cluster, jobs_by_age);
  WaitingQueue queue;
  for (Job* job : jobs_by_age) {
    if (job->live_count() > 0) queue.placed.add(*job);
    if (!job->placeable(now) || job->pending_count() == 0) continue;
    queue.jobs.push_back(job);
  }
  std::stable_sort(queue.jobs.begin(), queue.jobs.end(), [](const Job* a, const Job* b) {
    return std::tuple(!a->guaranteed, a->urgency.priority, queued_since_ms(*a)) <
           std::tuple(!b->guaranteed, b->urgency.priority, queued_since_ms(*b));
  });
  return queue;
}

}  // namespace cranklock::sched
