#include "rule_checker.hpp"

#include <algorithm>

namespace cranklock::testing {

void RuleChecker::report_violation(const std::string& rule, const std::string& how) {
  violations.try_emplace(rule, how);
}

const wire::JobSpec* RuleChecker::spec(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || !it->second.has_spec ? nullptr : &it->second.spec;
}

std::vector<std::string> RuleChecker::accepted_jobs() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (job.reported > 0) out.push_back(id);
  }
  return out;
}

std::string RuleChecker::outcome(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? "" : it->second.outcome;
}

double RuleChecker::cancelled_at(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? -1 : it->second.cancelled_at;
}

std::set<std::string> RuleChecker::ancestors(const std::string& job) const {
  std::set<std::string> out;
  std::vector<std::string> next{job};
  while (!next.empty()) {
    const auto* job_spec = spec(next.back());
    next.pop_back();
    if (job_spec == nullptr) continue;
    for (const auto& dependency : job_spec->dependencies) {
      if (out.insert(dependency).second) next.push_back(dependency);
    }
  }
  return out;
}

double RuleChecker::dependency_cancelled_at(const std::string& job) const {
  double first = -1;
  for (const auto& dependency : ancestors(job)) {
    const double at = cancelled_at(dependency);
    if (at >= 0 && (first < 0 || at < first)) first = at;
  }
  return first;
}

bool RuleChecker::cancel_requested(const std::string& job) const {
  auto candidates = ancestors(job);
  candidates.insert(job);
  return std::any_of(candidates.begin(), candidates.end(), [&](const std::string& id) {
    const auto it = jobs_.find(id);
    return it != jobs_.end() && it->second.cancel_requested;
  });
}

void RuleChecker::check_dependencies_done(const std::string& job, const std::string& task) {
  for (const auto& dependency : spec(job)->dependencies) {
    const auto* needed = spec(dependency);
    const bool done =
        needed != nullptr && jobs_.at(dependency).completed_tasks.size() == needed->tasks;
    if (!done) report_violation("too_early", task + " started before " + dependency + " was done");
  }
}

RuleChecker::UserRequest RuleChecker::on_request(const std::string& method, const std::string& path,
                                                 const std::string& body) {
  UserRequest request;
  const std::string jobs = "/v1/jobs", cancel = "/withdraw";
  if (method == "POST" && path == jobs) {
    const wire::JsonDocument document(body);
    if (!document.is_object()) return request;
    request.kind = UserRequest::Kind::submit;
    request.job = wire::read_text(document.root(), "Id").value_or("");
    Job& job = jobs_[request.job];
    job.submitted = true;
    auto parsed = wire::parse_job(document.root());
    if (!job.has_spec && parsed) {
      job.spec = *parsed;
      job.has_spec = true;
    }
  } else if (path.starts_with(jobs + "/")) {
    request.job = path.substr(jobs.size() + 1);
    request.kind = UserRequest::Kind::status;
    if (request.job.ends_with(cancel)) {
      request.job.resize(request.job.size() - cancel.size());
      request.kind = UserRequest::Kind::cancel;
      jobs_[request.job].cancel_requested = true;
    }
  }
  if (const auto it = jobs_.find(request.job); it != jobs_.end()) {
    request.reported = it->second.reported;
    request.outcome = it->second.outcome;
  }
  return request;
}

void RuleChecker::on_response(const UserRequest& request, int status, const std::string& body,
                              double now) {
  if (request.kind == UserRequest::Kind::other) return;
  Job& job = jobs_[request.job];
  if (status == 404 && request.reported > 0)
    report_violation("forgotten", request.job + " was accepted and is answered with 404");
  const bool repeat = request.kind == UserRequest::Kind::submit && request.reported > 0;
  if (repeat && (status == 400 || status == 422))
    report_violation("forgotten", request.job + " was accepted and its resubmission is refused");
  // A refused submission defines no job: the user may submit another one with that id.
  const bool refused =
      request.kind == UserRequest::Kind::submit && (status == 400 || status == 422);
  if (refused && job.reported == 0) job.has_spec = false;
  if (status != 200 && status != 201) return;
  if (!job.submitted) return report_violation("invented", request.job + " was never submitted");
  const wire::JsonDocument document(body);
  const auto state = wire::read_text(document.root(), "Stance").value_or("?");
  const bool over = state == "done" || state == "withdrawn";
  if (request.reported == 2 && state != request.outcome) {
    report_violation("went_back",
                     request.job + " was reported as " + request.outcome + " and now as " + state);
  }
  if (over && job.reported == 2 && job.outcome != state) {
    report_violation("went_back", request.job + " is reported as done and as withdrawn");
  }
  const double cancelled_dependency_at = dependency_cancelled_at(request.job);
  if (!over && cancelled_dependency_at >= 0 && now - cancelled_dependency_at > settings_.cancel_s) {
    report_violation("orphaned", request.job + " is reported as " + state +
                                     " after a dependency's cancellation, at " +
                                     std::to_string(now));
  }
  if (state == "withdrawn" && !cancel_requested(request.job)) {
    report_violation("went_back",
                     request.job + " is reported as withdrawn without a cancellation request");
  }
  if (state == "done" && job.completed_tasks.size() < job.spec.tasks) {
    report_violation("not_done", request.job + " is reported as done; tasks completed: " +
                                     std::to_string(job.completed_tasks.size()));
  }
  if (state == "withdrawn" && job.cancelled_at < 0) job.cancelled_at = now;
  if (over && job.reported < 2) job.outcome = state;
  job.reported = std::max(job.reported, over ? 2 : 1);
}

void RuleChecker::on_start_command(const std::string& id, double now) {
  const double at = cancelled_at(id);
  if (at < 0) return;
  ++late_starts;
  max_start_delay_s = std::max(max_start_delay_s, now - at);
}

void RuleChecker::on_gang_completed(const std::string& job) {
  const auto* gang = spec(job);
  for (std::uint32_t task = 0; gang != nullptr && task < gang->tasks; ++task) {
    on_task_completed(job, task);
  }
}

void RuleChecker::on_task_started(const HeldTask& task, const std::vector<HeldTask>& others,
                                  double now) {
  const auto* job = spec(task.job);
  if (job == nullptr) return report_violation("invented", task.job + " runs without a submission");
  const std::string name = task.job + "/" + std::to_string(task.task);
  check_dependencies_done(task.job, name);
  if (!sched::allows(*job, task.kind))
    report_violation("wrong_place", name + " in " + task.kind.zone);
  std::uint32_t tasks_in_zone = 1;
  for (const auto& other : others) {
    if (other.job != task.job) continue;
    if (other.task == task.task && other.machine != task.machine) {
      report_violation("ran_twice", name + " on " + other.machine + " and " + task.machine +
                                        " at " + std::to_string(now));
    }
    if (other.task == task.task) continue;
    if (other.kind.zone == task.kind.zone) {
      ++tasks_in_zone;
    } else if (job->one_zone) {
      report_violation("wrong_place", name + ": one_zone job also runs in " + other.kind.zone);
    }
  }
  if (job->spread && tasks_in_zone > (job->tasks + 1) / 2)
    report_violation("wrong_place", name + ": too many tasks of a spread job in one zone");
}

void RuleChecker::check_held_tasks(const std::vector<HeldTask>& held, double now) {
  std::map<std::string, wire::Resources> use;
  for (const auto& task : held) {
    const auto it = jobs_.find(task.job);
    if (it == jobs_.end()) continue;
    if (task.has_image) use[it->second.spec.team] += it->second.spec.resources;
    const double at = it->second.cancelled_at;
    if (at >= 0 && now - at > settings_.cancel_s) {
      report_violation("ran_cancelled", task.job + "/" + std::to_string(task.task) + " on " +
                                            task.machine + " at " + std::to_string(now));
    }
  }
  for (const auto& [name, resources] : use) {
    if (exceeds_limit(name, resources)) {
      std::string tasks;
      for (const auto& task : held) {
        if (jobs_.at(task.job).spec.team != name) continue;
        tasks += " " + task.job + "/" + std::to_string(task.task) + " on " + task.machine;
      }
      report_violation("quota", name + ": " + std::to_string(resources.gpus) + " at " +
                                    std::to_string(now) + ":" + tasks);
    }
  }
}

bool RuleChecker::exceeds_limit(const std::string& team, const wire::Resources& use) const {
  constexpr double kAmountTolerance = 1e-6;  // rounding of sums of decimals
  const auto* limits = settings_.find_team(team);
  if (limits == nullptr) return false;
  return (limits->gpus_max > 0 && use.gpus > limits->gpus_max + kAmountTolerance) ||
         (limits->cpus_max > 0 && use.cpus > limits->cpus_max + kAmountTolerance);
}

void RuleChecker::check_stored_use(const std::map<std::string, wire::Resources>& use_by_team,
                                   double now) {
  for (const auto& [team, use] : use_by_team) {
    if (!exceeds_limit(team, use)) continue;
    report_violation("stored_quota", team + ": " + std::to_string(use.gpus) + " GPUs, " +
                                         std::to_string(use.cpus) + " CPUs at " +
                                         std::to_string(now));
  }
}

}  // namespace cranklock::testing
