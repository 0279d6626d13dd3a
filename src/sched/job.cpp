#include "sched/job.hpp"

#include <algorithm>

namespace cranklock::sched {

void TaskSet::add(std::uint32_t task) {
  // The first range that ends at the task or later.
  const auto range = std::lower_bound(
      ranges_.begin(), ranges_.end(), task,
      [](const Range& candidate, std::uint32_t number) { return candidate.to < number; });
  const bool found = range != ranges_.end();
  if (found && range->from <= task && task < range->to) return;
  if (found && range->to == task) {
    ++range->to;
    const auto next = range + 1;
    if (next != ranges_.end() && next->from == range->to) {
      range->to = next->to;
      ranges_.erase(next);
    }
  } else if (found && range->from == task + 1) {
    range->from = task;
  } else {
    ranges_.insert(range, {task, task + 1});
  }
}

void TaskSet::merge(const TaskSet& other) {
  for (const auto& [from, to] : other.ranges_) {
    for (std::uint32_t task = from; task < to; ++task) add(task);
  }
}

bool TaskSet::contains(std::uint32_t task) const {
  const auto range = std::upper_bound(
      ranges_.begin(), ranges_.end(), task,
      [](std::uint32_t number, const Range& candidate) { return number < candidate.to; });
  return range != ranges_.end() && range->from <= task;
}

std::uint32_t TaskSet::size() const {
  std::uint32_t tasks = 0;
  for (const auto& [from, to] : ranges_) tasks += to - from;
  return tasks;
}

void Placement::request_stop(double grace, double now) {
  if (ended || stop_requested) return;
  stop_requested = true;
  grace_s = grace;
  stop_requested_at = now;
}

void Placement::request_drained_stop(double deadline, double now) {
  if (ended || (stop_requested && !drain_deadline)) return;
  request_stop(0, now);
  drain_deadline = deadline;
}

void Placement::revoke_drained_stop() {
  if (!drain_deadline) return;
  stop_requested = false;
  drain_deadline.reset();
}

void Job::mark_completed(std::uint32_t task) {
  done.add(task);
  complete_partly_done_gang();
}

void Job::complete_partly_done_gang() {
  if (spec.kind == wire::JobKind::gang && done.size() > 0) done.assign_first(spec.tasks);
}

std::size_t Job::live_count() const {
  return static_cast<std::size_t>(std::count_if(placements.begin(), placements.end(),
                                                [](const Placement& p) { return !p.ended; }));
}

std::size_t Job::recorded_count() const {
  return static_cast<std::size_t>(std::count_if(
      placements.begin(), placements.end(), [](const Placement& p) { return p.is_recorded(); }));
}

// Binary search, since arrays may have a thousand live tasks and a heartbeat may name hundreds: a
// linear search for each would overload a small processor.
std::vector<Placement>::iterator Job::position(std::uint32_t task, std::uint64_t attempt) {
  return std::lower_bound(
      placements.begin(), placements.end(), PlacementKey{task, attempt},
      [](const Placement& placement, const PlacementKey& key) { return placement.key() < key; });
}

Placement* Job::find(std::uint32_t task, std::uint64_t attempt) {
  const auto found = position(task, attempt);
  const bool matches = found != placements.end() && found->key() == PlacementKey{task, attempt};
  return matches ? &*found : nullptr;
}

void Job::sort_placements() {
  std::sort(placements.begin(), placements.end(),
            [](const Placement& a, const Placement& b) { return a.key() < b.key(); });
}

const Placement* Job::live_placement(std::uint32_t task) const {
  const auto found = std::find_if(placements.begin(), placements.end(),
                                  [&](const Placement& p) { return p.task == task && !p.ended; });
  return found == placements.end() ? nullptr : &*found;
}

bool Job::is_pending(std::uint32_t task) const {
  return !done.contains(task) && live_placement(task) == nullptr;
}

std::vector<std::uint32_t> Job::pending_tasks(std::size_t max_tasks) const {
  std::vector<std::uint32_t> tasks;
  std::uint32_t next = 0;
  auto done_range = done.ranges().begin();
  auto placement = placements.begin();
  while (next < spec.tasks && tasks.size() < max_tasks) {
    if (done_range != done.ranges().end() && next >= done_range->from) {
      next = std::max(next, done_range->to);
      ++done_range;
      continue;
    }
    while (placement != placements.end() && (placement->ended || placement->task < next)) {
      ++placement;
    }
    if (placement == placements.end() || placement->task != next) tasks.push_back(next);
    ++next;
  }
  return tasks;
}

std::uint32_t Job::pending_count() const {
  std::uint32_t placed = 0;
  for (const Placement& placement : placements) {
    if (!placement.ended && !done.contains(placement.task)) ++placed;
  }
  return spec.tasks - std::min(spec.tasks, done.size() + placed);
}

}  // namespace cranklock::sched
