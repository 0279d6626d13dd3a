#include "sched/job.hpp"

#include <algorithm>
#include <utility>

namespace cranklock::sched {

void TaskSet::add(std::uint32_t task) {
  auto it = std::lower_bound(ranges_.begin(), ranges_.end(), task,
                             [](const Range& r, std::uint32_t t) { return r.second < t; });
  if (it != ranges_.end() && it->first <= task && task < it->second) return;
  if (it != ranges_.end() && it->second == task) {
    ++it->second;
    if (auto next = it + 1; next != ranges_.end() && next->first == it->second) {
      it->second = next->second;
      ranges_.erase(next);
    }
  } else if (it != ranges_.end() && it->first == task + 1) {
    it->first = task;
  } else {
    ranges_.insert(it, {task, task + 1});
  }
}

void TaskSet::merge(const TaskSet& other) {
  for (const auto& [from, to] : other.ranges_) {
    for (std::uint32_t t = from; t < to; ++t) add(t);
  }
}

bool TaskSet::contains(std::uint32_t task) const {
  const auto it = std::upper_bound(ranges_.begin(), ranges_.end(), task,
                                   [](std::uint32_t t, const Range& r) { return t < r.second; });
  return it != ranges_.end() && it->first <= task;
}

std::uint32_t TaskSet::size() const {
  std::uint32_t n = 0;
  for (const auto& [from, to] : ranges_) n += to - from;
  return n;
}

std::size_t Job::live() const {
  return static_cast<std::size_t>(std::count_if(placements.begin(), placements.end(),
                                                [](const Placement& p) { return !p.ended; }));
}

namespace {
std::pair<std::uint32_t, std::uint64_t> key_of(const Placement& placement) {
  return {placement.task, placement.attempt};
}
}  // namespace

// Guards a small processor against arrays of a thousand live tasks, whose reports name hundreds:
// each is looked up by halves, not by going through all.
std::vector<Placement>::iterator Job::position(std::uint32_t task, std::uint64_t attempt) {
  return std::lower_bound(
      placements.begin(), placements.end(), std::pair(task, attempt),
      [](const Placement& placement, const auto& key) { return key_of(placement) < key; });
}

Placement* Job::find(std::uint32_t task, std::uint64_t attempt) {
  const auto it = position(task, attempt);
  const bool found = it != placements.end() && it->task == task && it->attempt == attempt;
  return found ? &*it : nullptr;
}

void Job::sort_placements() {
  std::sort(placements.begin(), placements.end(),
            [](const Placement& a, const Placement& b) { return key_of(a) < key_of(b); });
}

const Placement* Job::live_placement(std::uint32_t task) const {
  const auto found = std::find_if(placements.begin(), placements.end(),
                                  [&](const Placement& p) { return p.task == task && !p.ended; });
  return found == placements.end() ? nullptr : &*found;
}

bool Job::is_pending(std::uint32_t task) const {
  return !done.contains(task) && live_placement(task) == nullptr;
}

std::vector<std::uint32_t> Job::pending(std::size_t max_tasks) const {
  std::vector<std::uint32_t> out;
  std::uint32_t next = 0;
  auto range = done.ranges().begin();
  auto placed = placements.begin();
  while (next < spec.tasks && out.size() < max_tasks) {
    if (range != done.ranges().end() && next >= range->first) {
      next = std::max(next, range->second);
      ++range;
      continue;
    }
    while (placed != placements.end() && (placed->ended || placed->task < next)) ++placed;
    if (placed == placements.end() || placed->task != next) out.push_back(next);
    ++next;
  }
  return out;
}

std::uint32_t Job::pending_count() const {
  std::uint32_t placed = 0;
  for (const auto& p : placements) placed += !p.ended && !done.contains(p.task) ? 1 : 0;
  return spec.tasks - std::min(spec.tasks, done.size() + placed);
}

}  // namespace cranklock::sched
