#include "rule_checker.hpp"

#include <algorithm>

namespace cranklock::testing {

void RuleChecker::breaks(const std::string& rule, const std::string& how) {
  broken.try_emplace(rule, how);
}

const wire::JobSpec* RuleChecker::spec(const std::string& job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() || !it->second.described ? nullptr : &it->second.spec;
}

std::vector<std::string> RuleChecker::accepted() const {
  std::vector<std::string> out;
  for (const auto& [id, job] : jobs_) {
    if (job.told > 0) out.push_back(id);
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
    const auto* described = spec(next.back());
    next.pop_back();
    if (described == nullptr) continue;
    for (const auto& needed : described->dependencies) {
      if (out.insert(needed).second) next.push_back(needed);
    }
  }
  return out;
}

double RuleChecker::orphaned_at(const std::string& job) const {
  double first = -1;
  for (const auto& needed : ancestors(job)) {
    const double at = cancelled_at(needed);
    if (at >= 0 && (first < 0 || at < first)) first = at;
  }
  return first;
}

bool RuleChecker::cancel_asked(const std::string& job) const {
  auto candidates = ancestors(job);
  candidates.insert(job);
  return std::any_of(candidates.begin(), candidates.end(), [&](const std::string& id) {
    const auto it = jobs_.find(id);
    return it != jobs_.end() && it->second.cancel_asked;
  });
}

void RuleChecker::check_dependencies_done(const std::string& job, const std::string& task) {
  for (const auto& needed : spec(job)->dependencies) {
    const auto* described = spec(needed);
    const bool done = described != nullptr && jobs_.at(needed).done.size() == described->tasks;
    if (!done) breaks("too_early", task + " before " + needed);
  }
}

RuleChecker::Question RuleChecker::ask(const std::string& method, const std::string& path,
                                       const std::string& body) {
  Question q;
  const std::string jobs = "/v1/jobs", cancel = "/withdraw";
  if (method == "POST" && path == jobs) {
    const wire::JsonDocument document(body);
    if (!document.is_object()) return q;
    q.kind = Question::Kind::submit;
    q.job = wire::read_text(document.root(), "Id").value_or("");
    Job& job = jobs_[q.job];
    job.submitted = true;
    auto parsed = wire::parse_job(document.root());
    if (!job.described && parsed) {
      job.spec = *parsed;
      job.described = true;
    }
  } else if (path.starts_with(jobs + "/")) {
    q.job = path.substr(jobs.size() + 1);
    q.kind = Question::Kind::status;
    if (q.job.ends_with(cancel)) {
      q.job.resize(q.job.size() - cancel.size());
      q.kind = Question::Kind::cancel;
      jobs_[q.job].cancel_asked = true;
    }
  }
  if (const auto it = jobs_.find(q.job); it != jobs_.end()) {
    q.told = it->second.told;
    q.outcome = it->second.outcome;
  }
  return q;
}

void RuleChecker::answered(const Question& q, int status, const std::string& body, double now) {
  if (q.kind == Question::Kind::other) return;
  Job& job = jobs_[q.job];
  if (status == 404 && q.told > 0) breaks("forgotten", q.job + " got 404");
  const bool repeat = q.kind == Question::Kind::submit && q.told > 0;
  if (repeat && (status == 400 || status == 422)) breaks("forgotten", q.job + " was refused");
  // What was refused describes no job: its user may submit another under that id.
  const bool refused = q.kind == Question::Kind::submit && (status == 400 || status == 422);
  if (refused && job.told == 0) job.described = false;
  if (status != 200 && status != 201) return;
  if (!job.submitted) return breaks("invented", q.job);
  const wire::JsonDocument document(body);
  const auto state = wire::read_text(document.root(), "Stance").value_or("?");
  const bool over = state == "done" || state == "withdrawn";
  if (q.told == 2 && state != q.outcome) {
    breaks("went_back", q.job + " was " + q.outcome + " and is called " + state);
  }
  if (over && job.told == 2 && job.outcome != state) {
    breaks("went_back", q.job + " is called both done and withdrawn");
  }
  const double orphaned = orphaned_at(q.job);
  if (!over && orphaned >= 0 && now - orphaned > settings_.cancel_s) {
    breaks("orphaned", q.job + " is called " + state + " at " + std::to_string(now));
  }
  if (state == "withdrawn" && !cancel_asked(q.job)) {
    breaks("went_back", q.job + " is called withdrawn, and nobody asked for it");
  }
  if (state == "done" && job.done.size() < job.spec.tasks) {
    breaks("not_done", q.job + ": " + std::to_string(job.done.size()) + " tasks are");
  }
  if (state == "withdrawn" && job.cancelled_at < 0) job.cancelled_at = now;
  if (over && job.told < 2) job.outcome = state;
  job.told = std::max(job.told, over ? 2 : 1);
}

void RuleChecker::on_start_command(const std::string& id, double now) {
  const double at = cancelled_at(id);
  if (at < 0) return;
  ++late_starts;
  latest_start = std::max(latest_start, now - at);
}

void RuleChecker::starts(const HeldTask& task, const std::vector<HeldTask>& others, double now) {
  const auto* job = spec(task.job);
  if (job == nullptr) return breaks("invented", task.job + " runs and was never submitted");
  const std::string name = task.job + "/" + std::to_string(task.task);
  check_dependencies_done(task.job, name);
  if (!sched::allows(*job, task.kind)) breaks("wrong_place", name + " in " + task.kind.zone);
  std::uint32_t here = 1;
  for (const auto& other : others) {
    if (other.job != task.job) continue;
    if (other.task == task.task && other.machine != task.machine) {
      breaks("ran_twice",
             name + " on " + other.machine + " and " + task.machine + " at " + std::to_string(now));
    }
    if (other.task == task.task) continue;
    if (other.kind.zone == task.kind.zone) {
      ++here;
    } else if (job->one_zone) {
      breaks("wrong_place", name + ": its job is in " + other.kind.zone + " too");
    }
  }
  if (job->spread && here > (job->tasks + 1) / 2) breaks("wrong_place", name + ": too many there");
}

void RuleChecker::check_held_tasks(const std::vector<HeldTask>& held, double now) {
  std::map<std::string, wire::Resources> use;
  for (const auto& task : held) {
    const auto it = jobs_.find(task.job);
    if (it == jobs_.end()) continue;
    if (task.has_image) use[it->second.spec.team] += it->second.spec.resources;
    const double at = it->second.cancelled_at;
    if (at >= 0 && now - at > settings_.cancel_s) {
      breaks("ran_cancelled", task.job + "/" + std::to_string(task.task) + " on " + task.machine +
                                  " at " + std::to_string(now));
    }
  }
  for (const auto& [name, resources] : use) {
    const auto* team = settings_.find_team(name);
    if (team != nullptr && team->gpus_max > 0 && resources.gpus > team->gpus_max + 1e-6) {
      std::string tasks;
      for (const auto& task : held) {
        if (jobs_.at(task.job).spec.team != name) continue;
        tasks += " " + task.job + "/" + std::to_string(task.task) + " on " + task.machine;
      }
      breaks("quota", name + ": " + std::to_string(resources.gpus) + " at " + std::to_string(now) +
                          ":" + tasks);
    }
  }
}

}  // namespace cranklock::testing
